/** Steps of a starting VM. A VM that serves is known to every peer it could reach, and then looked for the newest revision once more: so nobody reports a revision in force without counting it. */
export type JoinStep =
  /** Looks for peers: through the platform's list or those given in the settings. */
  | { type: 'looking' }
  /** Tells every peer of its data centre that it is there. */
  | { type: 'announcing', waitingFor: Set<string>, missed: number }
  /** Waits for the peers that did not answer to hear of it from others. */
  | { type: 'spreading', untilMs: number }
  /** Takes the newest revision of platform and peers. */
  | { type: 'checking' }
  | { type: 'ready' }

/** Start of a VM as steps. Opens nothing. */
export class Join {
  readonly #waitMs: number
  #step: JoinStep = { type: 'looking' }

  constructor (waitMs: number) {
    this.#waitMs = waitMs
  }

  /** Present step. */
  get step (): JoinStep {
    return this.#step
  }

  /** Whether the VM may serve. */
  get isReady (): boolean {
    return this.#step.type === 'ready'
  }

  /** Notes the peers to tell. */
  announce (urls: string[]): void {
    this.#step = { type: 'announcing', waitingFor: new Set(urls), missed: 0 }
    this.#finishAnnouncing()
  }

  /** Takes that a peer answered or did not. */
  takeAnswer (url: string, isAnswered: boolean): void {
    if (this.#step.type !== 'announcing' || !this.#step.waitingFor.delete(url)) return
    if (!isAnswered) this.#step.missed++
    this.#finishAnnouncing()
  }

  /** Moves on with the time. */
  tick (): void {
    if (this.#step.type === 'spreading' && performance.now() >= this.#step.untilMs) this.#step = { type: 'checking' }
  }

  /** Takes that the newest revision is known and held. */
  finish (): void {
    if (this.#step.type === 'checking') this.#step = { type: 'ready' }
  }

  #finishAnnouncing (): void {
    if (this.#step.type !== 'announcing' || this.#step.waitingFor.size > 0) return
    const { missed } = this.#step
    this.#step = missed === 0 ? { type: 'checking' } : { type: 'spreading', untilMs: performance.now() + this.#waitMs }
  }
}
