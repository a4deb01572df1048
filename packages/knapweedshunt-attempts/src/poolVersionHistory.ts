interface PoolVersions {
  /** Monotonic time of the first observation. */
  sinceMs: number
  /** Monotonic time at which each software version was last present. */
  lastPresentMs: Map<string, number>
}

/** Which software versions the endpoints of each pool had lately. */
export class PoolVersionHistory {
  readonly #pools = new Map<string, PoolVersions>()
  readonly #getRetentionMs: () => number

  /** `getRetentionMs` returns the time after which a version that is no longer present has begun no stream that may be taken up again, in milliseconds. */
  constructor (getRetentionMs: () => number) {
    this.#getRetentionMs = getRetentionMs
  }

  /** Records the versions that the endpoints of a pool have now. */
  recordPresent (pool: string, softwareVersions: Iterable<string>): void {
    const nowMs = performance.now()
    const known = this.#getOrCreate(pool)
    for (const version of softwareVersions) known.lastPresentMs.set(version, nowMs)
    for (const [version, lastMs] of known.lastPresentMs) if (nowMs - lastMs > this.#getRetentionMs()) known.lastPresentMs.delete(version)
  }

  /** Records that the endpoints were not observed for a while, in which versions may have come and gone: all pools are observed anew. */
  recordGap (): void {
    for (const known of this.#pools.values()) known.sinceMs = performance.now()
  }

  /** Takes over what another VM, or this one before it restarted, observed: the pool has had these versions since `sinceMs`. */
  adopt (pool: string, softwareVersions: string[], sinceMs: number): void {
    const known = this.#getOrCreate(pool)
    known.sinceMs = Math.min(known.sinceMs, sinceMs)
    for (const version of softwareVersions) known.lastPresentMs.set(version, performance.now())
  }

  /** Returns the only version that can have begun a stream which may still be taken up again; null if there are several, or if the pool has not been observed for long enough. */
  findOnlyVersion (pool: string): string | null {
    const known = this.#pools.get(pool)
    if (known === undefined || performance.now() - known.sinceMs < this.#getRetentionMs()) return null
    const [version, ...others] = known.lastPresentMs.keys()
    return version === undefined || others.length > 0 ? null : version
  }

  /** Whether several versions may have begun streams that may still be taken up again. */
  hasSeveral (pool: string): boolean {
    return (this.#pools.get(pool)?.lastPresentMs.size ?? 0) > 1
  }

  /** Lists the versions that can have begun streams which may still be taken up again, as far as they were observed. */
  list (pool: string): string[] {
    const oldestMs = performance.now() - this.#getRetentionMs()
    return [...this.#pools.get(pool)?.lastPresentMs ?? []].filter(([, lastMs]) => lastMs >= oldestMs).map(([version]) => version)
  }

  /** Whether another version may have begun streams of the pool that may still be taken up again. */
  hasOtherThan (pool: string, softwareVersion: string): boolean {
    return [...this.#pools.get(pool)?.lastPresentMs.keys() ?? []].some(version => version !== softwareVersion)
  }

  #getOrCreate (pool: string): PoolVersions {
    const known = this.#pools.get(pool) ?? { sinceMs: performance.now(), lastPresentMs: new Map<string, number>() }
    this.#pools.set(pool, known)
    return known
  }
}
