import type { LeaseRow } from './leaseState.ts'

/** Watches another's lease row: it has lapsed when it stayed the same for its whole duration by this VM's monotonic clock. */
export class LeaseWatch {
  #nonce: string | null = null
  #sinceMs = 0

  /** Takes the row as just read and says for how long it has stayed the same, in milliseconds. */
  readSilentMs (row: LeaseRow, now: number): number {
    if (this.#nonce !== row.nonce) {
      this.#nonce = row.nonce
      this.#sinceMs = now
    }
    return now - this.#sinceMs
  }

  /** Takes the row as just read and says whether the lease has lapsed. */
  hasLapsed (row: LeaseRow, now: number, extraMs = 0): boolean {
    if (row.durationMs === 0 && extraMs === 0) return true
    const isNew = this.#nonce !== row.nonce
    const silentMs = this.readSilentMs(row, now)
    return !isNew && silentMs >= row.durationMs + extraMs
  }
}
