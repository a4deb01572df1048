import type { LeaseRow } from './leaseState.ts'

/** Detects the expiry of a lease held by another VM: its row has not changed for the lease's whole duration by this VM's monotonic clock. */
export class LeaseExpiryTracker {
  #nonce: string | null = null
  #unchangedSinceMs = 0
  /** Time of the first of the reads that have followed one another without a gap since. */
  #seriesSinceMs = -Infinity
  #lastReadMs = -Infinity

  /** Records that a read gave no row, which ends the series of reads. */
  recordGap (): void {
    this.#lastReadMs = -Infinity
  }

  /**
   * Records the row as just read and returns the time until which its holder may have sent commands. Renewals may have
   * been lost since it last changed if there was a gap of `maxGapMs` in which the store may have returned to an older copy.
   */
  computeHolderEndMs (row: LeaseRow, now: number, maxGapMs: number): number {
    if (now - this.#lastReadMs > maxGapMs) this.#seriesSinceMs = now
    this.#lastReadMs = now
    const unchangedMs = this.measureUnchangedMs(row, now)
    return Math.max(now - unchangedMs, this.#seriesSinceMs) + row.durationMs
  }

  /** Records the row as just read and returns for how long it has not changed, in milliseconds. */
  measureUnchangedMs (row: LeaseRow, now: number): number {
    if (this.#nonce !== row.nonce) {
      this.#nonce = row.nonce
      this.#unchangedSinceMs = now
    }
    return now - this.#unchangedSinceMs
  }

  /** Records the row as just read and returns whether the lease expired at least `extraMs` ago; false when the row was not known. A released lease counts as expired at once when `extraMs` is 0. */
  hasExpired (row: LeaseRow, now: number, extraMs = 0): boolean {
    if (row.durationMs === 0 && extraMs === 0) return true
    const isNew = this.#nonce !== row.nonce
    const unchangedMs = this.measureUnchangedMs(row, now)
    return !isNew && unchangedMs >= row.durationMs + extraMs
  }
}
