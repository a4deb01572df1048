import type { Platform, Row } from 'knapweedshunt-platform'
import type { FencingNumber, Incarnation } from 'knapweedshunt-types'
import { createIncarnation } from 'knapweedshunt-utils'
import type { LeaseRow } from './leaseState.ts'

const TABLE = 'leases'

/** Options of a lease. */
export interface LeaseOptions {
  name: string
  holder: Incarnation
  /** How long a renewal lasts, in milliseconds. */
  durationMs: number
  /** The holder stops acting this long before the end, in milliseconds. */
  guardMs: number
}

/** One contender for a lease in the table service. Times are by the monotonic clock of each VM alone. */
export class LeaseTask {
  readonly #platform: Platform
  readonly #options: LeaseOptions
  #held: { fencing: FencingNumber, untilMs: number } | null = null
  #seen: { nonce: string, atMs: number } | null = null

  constructor (platform: Platform, options: LeaseOptions) {
    this.#platform = platform
    this.#options = options
  }

  /** Fencing number while the lease may be acted on, else null. Ask again after every wait. */
  get fencing (): FencingNumber | null {
    if (this.#held === null || performance.now() >= this.#held.untilMs - this.#options.guardMs) return null
    return this.#held.fencing
  }

  /** Renews the lease, or takes it when its holder let it lapse. Throws PlatformError. */
  async renew (): Promise<void> {
    const startedAtMs = performance.now()
    const row = await this.#platform.read(TABLE, this.#options.name)
    const present = row === null ? null : row.value as LeaseRow
    if (present !== null && present.holder !== this.#options.holder && !this.#hasLapsed(present)) {
      this.#held = null
      return
    }
    await this.#write(row, present, startedAtMs)
  }

  async #write (row: Row | null, present: LeaseRow | null, startedAtMs: number): Promise<void> {
    const isOwn = present?.holder === this.#options.holder && this.#held !== null
    const fencing = isOwn ? present.fencing : (present?.fencing ?? 0) + 1
    const value: LeaseRow = { holder: this.#options.holder, fencing, durationMs: this.#options.durationMs, nonce: createIncarnation() }
    const check = { table: TABLE, key: this.#options.name, version: row?.version ?? 0 }
    const result = await this.#platform.transact({ checks: [check], writes: [{ type: 'put', table: TABLE, key: this.#options.name, value }] })
    this.#held = result.type === 'committed' ? { fencing, untilMs: startedAtMs + this.#options.durationMs } : null
  }

  /** A lease has lapsed when its row did not change for its whole duration, as seen from here. */
  #hasLapsed (present: LeaseRow): boolean {
    const now = performance.now()
    if (this.#seen?.nonce !== present.nonce) {
      this.#seen = { nonce: present.nonce, atMs: now }
      return false
    }
    return now - this.#seen.atMs >= present.durationMs
  }
}
