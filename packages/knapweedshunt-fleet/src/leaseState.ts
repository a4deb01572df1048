import type { DataCentreId, FencingToken, Incarnation } from 'knapweedshunt-types'

/** Table that holds all leases. */
export const LEASE_TABLE = 'leases'

/** Key prefix of the leases for sending commands; the data centre follows. */
export const FLEET_LEASE_PREFIX = 'fleet/'

/** Lease row as stored. */
export interface LeaseRow {
  holder: Incarnation
  /** Fencing token: incremented at each acquisition, kept by renewals. */
  fencing: FencingToken
  /** Validity after each acquisition or renewal, in milliseconds; 0 once released. */
  durationMs: number
  /** Random per write, so that contenders observe each renewal and the holder can tell whether an unanswered write was applied. */
  nonce: string
}

/** Builds the key of the lease for sending commands to the endpoints of one data centre. */
export function buildFleetLeaseKey (dataCentre: DataCentreId): string {
  return FLEET_LEASE_PREFIX + dataCentre
}
