import type { LeaseRow } from './leaseState.ts'

/** Watches another's lease row: it has lapsed when it stayed the same for its whole duration by this VM's monotonic clock. */
export class LeaseWatch {
  #nonce: string | null = null
  #sinceMs = 0

  /** Takes the row as just read and says whether the lease has lapsed. */
  hasLapsed (row: LeaseRow, now: number, extraMs = 0): boolean {
    if (row.durationMs === 0 && extraMs === 0) return true
    if (this.#nonce !== row.nonce) {
      this.#nonce = row.nonce
      this.#sinceMs = now
      return false
    }
    return now - this.#sinceMs >= row.durationMs + extraMs
  }
}
