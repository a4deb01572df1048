/** Maximum number of lifts held; the oldest are evicted first. */
const MAX_LIFTS = 256

/** Monotonic times at which quarantines were lifted, by the fingerprint or part that the lift names. */
export class LiftTimes {
  readonly #times = new Map<string, number>()

  /** Records a lift; one that is learnt later than a newer one changes nothing. */
  record (target: string, liftedAtMs: number): void {
    const latestAtMs = Math.max(liftedAtMs, this.#times.get(target) ?? -Infinity)
    this.#times.delete(target)
    this.#times.set(target, latestAtMs)
    const [oldest] = this.#times.keys()
    if (this.#times.size > MAX_LIFTS) this.#times.delete(oldest)
  }

  /** Returns when the target was lifted last; `-Infinity` if it was not. */
  find (target: string): number {
    return this.#times.get(target) ?? -Infinity
  }

  /** Returns when a target with which the text begins was lifted last; `-Infinity` if none was. */
  findByPrefix (text: string): number {
    let latestAtMs = -Infinity
    for (const [target, liftedAtMs] of this.#times) if (text.startsWith(target)) latestAtMs = Math.max(latestAtMs, liftedAtMs)
    return latestAtMs
  }
}
