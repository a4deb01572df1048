/** Measures for how long new connections may have waited: a turn of the event loop accepts one, so that none is left only after a turn without. */
export class AcceptWatch {
  #sinceMs: number | null = null
  #maxMs = 0
  #hasAccepted = false

  /** Records that a connection was accepted. */
  recordAccepted (): void {
    this.#hasAccepted = true
    if (this.#sinceMs !== null) return
    this.#sinceMs = performance.now()
    setImmediate(() => this.#advanceTurn(performance.now()))
  }

  /** Returns the longest time since the last call in which each turn accepted a connection, in milliseconds. */
  takeMaxBacklogMs (): number {
    const maxMs = Math.max(this.#maxMs, this.#sinceMs === null ? 0 : performance.now() - this.#sinceMs)
    this.#maxMs = 0
    return maxMs
  }

  #advanceTurn (sinceMs: number): void {
    if (!this.#hasAccepted) {
      this.#maxMs = Math.max(this.#maxMs, sinceMs - this.#sinceMs!)
      this.#sinceMs = null
      return
    }
    this.#hasAccepted = false
    const nowMs = performance.now()
    setImmediate(() => this.#advanceTurn(nowMs))
  }
}
