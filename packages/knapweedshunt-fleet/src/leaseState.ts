import type { FencingNumber, Incarnation } from 'knapweedshunt-types'

/** Lease row as stored. */
export interface LeaseRow {
  holder: Incarnation
  fencing: FencingNumber
  /** How long the holder may act after each renewal, in milliseconds. */
  durationMs: number
  /** Random per write, so that watchers see each renewal and a lost answer can be settled. */
  nonce: string
}
