import type { Row } from 'knapweedshunt-platform'
import type { DataCentreId } from 'knapweedshunt-types'
import type { LeaseOptions } from './leaseOptions.ts'
import { buildFleetLeaseKey } from './leaseState.ts'
import type { LeaseRow } from './leaseState.ts'
import { LeaseExpiryTracker } from './leaseExpiryTracker.ts'
import { readLeaseRow } from './readLeaseRow.ts'
import type { PeerDataCentre, PeerLeaseState } from './plannerTypes.ts'

/** Missed renewals after which another data centre's counts are treated as stale, well before its lease expires. */
const MISSED_RENEWALS = 2

/** Tracks the leases of the other data centres by this VM's monotonic clock. */
export class PeerLeaseTracker {
  readonly #options: LeaseOptions
  readonly #trackers = new Map<string, LeaseExpiryTracker>()

  constructor (options: LeaseOptions) {
    this.#options = options
  }

  /** Records lease rows as just read and returns the state of each data centre's lease. */
  update (rows: Row[], dataCentres: DataCentreId[]): PeerDataCentre[] {
    return dataCentres.map(dataCentre => {
      // A lease that cannot be read is logged by the tasks of its own data centre.
      const row = rows.find(entry => entry.key === buildFleetLeaseKey(dataCentre))
      return { dataCentre, lease: this.#determineState(dataCentre, row === undefined ? null : readLeaseRow(row, this.#options.durationMs, () => {})) }
    })
  }

  #determineState (dataCentre: DataCentreId, row: LeaseRow | null): PeerLeaseState {
    if (row === null) return 'expired'
    const now = performance.now()
    const tracker = this.#trackers.get(dataCentre) ?? new LeaseExpiryTracker()
    this.#trackers.set(dataCentre, tracker)
    if (tracker.measureUnchangedMs(row, now) < MISSED_RENEWALS * this.#options.intervalMs) return 'fresh'
    return tracker.hasExpired(row, now, this.#options.guardMs + this.#options.maxCommandMs) ? 'expired' : 'stale'
  }
}
