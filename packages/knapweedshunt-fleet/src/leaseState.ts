import type { DataCentreId, FencingNumber, Incarnation } from 'knapweedshunt-types'

/** Table of all leases. */
export const LEASE_TABLE = 'leases'

/** Key prefix of the leases on giving orders; the data centre follows. */
export const FLEET_LEASE_PREFIX = 'fleet/'

/** Lease row as stored. */
export interface LeaseRow {
  holder: Incarnation
  /** Grows by one with each taking; renewals keep it. */
  fencing: FencingNumber
  /** How long the holder may act after each renewal, in milliseconds; 0 once released. */
  durationMs: number
  /** Random per write, so that watchers see each renewal and a lost answer can be settled. */
  nonce: string
}

/** Key of the lease on giving orders to the endpoints of one data centre. */
export function nameFleetLease (dataCentre: DataCentreId): string {
  return FLEET_LEASE_PREFIX + dataCentre
}
