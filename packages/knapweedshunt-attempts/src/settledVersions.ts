/** Since when the endpoint table has shown the software versions of each pool. */
export class SettledVersions {
  /** Monotonic time since which each version has been in the table, by pool. */
  readonly #pools = new Map<string, Map<string, number>>()
  /** Versions among them that are settled, by pool. */
  readonly #settled = new Map<string, Set<string>>()
  readonly #settleMs: number

  /** `settleMs` is the time for which the table must have shown a version until it is settled, in milliseconds. */
  constructor (settleMs: number) {
    this.#settleMs = settleMs
  }

  /** Records the versions that a pool has in the table; `confirmedAtMs` is the monotonic time of the read that confirmed it last. */
  recordPresent (pool: string, softwareVersions: readonly string[], confirmedAtMs: number): void {
    const known = this.#pools.get(pool) ?? new Map<string, number>()
    const present = new Map(softwareVersions.map(version => [version, known.get(version) ?? performance.now()]))
    const settled = this.#settled.get(pool) ?? new Set<string>()
    this.#pools.set(pool, present)
    this.#settled.set(pool, new Set(softwareVersions.filter(version => settled.has(version) || confirmedAtMs - present.get(version)! >= this.#settleMs)))
  }

  /** Takes over that a pool has had these versions since `sinceMs`. */
  adopt (pool: string, softwareVersions: readonly string[], sinceMs: number): void {
    const known = this.#pools.get(pool) ?? new Map<string, number>()
    for (const version of softwareVersions) known.set(version, Math.min(known.get(version) ?? Infinity, sinceMs))
    this.#pools.set(pool, known)
  }

  /** Forgets all versions, after a time in which the table was not read. */
  clear (): void {
    this.#pools.clear()
    this.#settled.clear()
  }

  /** Whether the table has shown a version of a pool for long enough. */
  has (pool: string, softwareVersion: string): boolean {
    return this.#settled.get(pool)?.has(softwareVersion) ?? false
  }

  /** Lists the versions of a pool that are not settled. */
  listUnsettled (pool: string): string[] {
    return [...this.#pools.get(pool)?.keys() ?? []].filter(version => !this.has(pool, version))
  }
}
