import type { Platform, Row } from 'knapweedshunt-platform'
import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Incarnation, OrderOutcome, Ran, RecordedAnswer } from 'knapweedshunt-types'
import { createIncarnation } from 'knapweedshunt-utils'
import type { ClaimResult, ClaimRow, OrderRequest } from './orderTypes.ts'

const TABLE = 'orders'

/** Claims and outcomes of orders in the table service. */
export class OrderStore {
  readonly #platform: Platform
  readonly #owner: Incarnation

  constructor (platform: Platform, owner: Incarnation) {
    this.#platform = platform
    this.#owner = owner
  }

  /** Claims the order before it is sent. Never throws PlatformError. */
  async claim (order: OrderRequest): Promise<ClaimResult> {
    const nonce = createIncarnation()
    const row: ClaimRow = { digest: order.digest, nonce, owner: this.#owner, ran: 'in-progress', answer: null }
    try {
      const key = nameOrder(order)
      const result = await this.#platform.transact({ checks: [{ table: TABLE, key, version: 0 }], writes: [{ type: 'put', table: TABLE, key, value: row }] })
      if (result.type === 'committed') return { type: 'claimed', nonce }
      return describeClaim(order, result.rows[0].value as ClaimRow)
    } catch (error) {
      if (error instanceof PlatformUnreachableError) return this.#settleClaim(order, nonce)
      throw error
    }
  }

  /** Records what became of a claimed order. Returns whether the tables took it. */
  async settle (order: OrderRequest, nonce: string, ran: Ran, answer: RecordedAnswer | null): Promise<boolean> {
    try {
      const key = nameOrder(order)
      const row = await this.#platform.read(TABLE, key)
      if (row === null || (row.value as ClaimRow).nonce !== nonce) return false
      const value: ClaimRow = { ...row.value as ClaimRow, ran, answer }
      const result = await this.#platform.transact({ checks: [{ table: TABLE, key, version: row.version }], writes: [{ type: 'put', table: TABLE, key, value }] })
      return result.type === 'committed'
    } catch (error) {
      if (error instanceof PlatformUnreachableError) return false
      throw error
    }
  }

  /** What is known of an order; null when there is no such order. Throws PlatformUnreachableError. */
  async readOutcome (organisation: string, key: string): Promise<OrderOutcome | null> {
    const row = await this.#platform.read(TABLE, nameOrder({ organisation, key }))
    if (row === null) return null
    const claim = row.value as ClaimRow
    return claim.answer === null ? { ran: claim.ran } : { ran: claim.ran, answer: claim.answer }
  }

  async #settleClaim (order: OrderRequest, nonce: string): Promise<ClaimResult> {
    try {
      const row: Row | null = await this.#platform.read(TABLE, nameOrder(order))
      if (row === null) return { type: 'unreadable' }
      const claim = row.value as ClaimRow
      return claim.nonce === nonce ? { type: 'claimed', nonce } : describeClaim(order, claim)
    } catch (error) {
      if (error instanceof PlatformUnreachableError) return { type: 'unreadable' }
      throw error
    }
  }
}

function nameOrder (order: { organisation: string, key: string }): string {
  return `${encodeURIComponent(order.organisation)}/${encodeURIComponent(order.key)}`
}

function describeClaim (order: OrderRequest, claim: ClaimRow): ClaimResult {
  if (claim.digest !== order.digest) return { type: 'mismatch' }
  return { type: 'known', ran: claim.ran, answer: claim.answer }
}
