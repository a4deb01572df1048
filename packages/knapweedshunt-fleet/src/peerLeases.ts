import type { Row } from 'knapweedshunt-platform'
import type { DataCentreId } from 'knapweedshunt-types'
import type { LeaseOptions } from './leaseOptions.ts'
import { nameFleetLease } from './leaseState.ts'
import type { LeaseRow } from './leaseState.ts'
import { LeaseWatch } from './leaseWatch.ts'
import type { PeerDataCentre, PeerLease } from './plannerTypes.ts'

/** Renewals after whose absence another data centre's counts are no longer believed, well before its lease ends. */
const MISSED_RENEWALS = 2

/** Watches the leases of the other data centres by this VM's own clock. */
export class PeerLeases {
  readonly #options: LeaseOptions
  readonly #watches = new Map<string, LeaseWatch>()

  constructor (options: LeaseOptions) {
    this.#options = options
  }

  /** Takes lease rows as just read and says how each data centre's lease is. */
  take (rows: Row[], dataCentres: DataCentreId[]): PeerDataCentre[] {
    return dataCentres.map(dataCentre => {
      const row = rows.find(entry => entry.key === nameFleetLease(dataCentre))
      return { dataCentre, lease: this.#readLease(dataCentre, row === undefined ? null : row.value as LeaseRow) }
    })
  }

  #readLease (dataCentre: DataCentreId, row: LeaseRow | null): PeerLease {
    if (row === null) return 'gone'
    const now = performance.now()
    const watch = this.#watches.get(dataCentre) ?? new LeaseWatch()
    this.#watches.set(dataCentre, watch)
    if (watch.readSilentMs(row, now) < MISSED_RENEWALS * this.#options.intervalMs) return 'fresh'
    return watch.hasLapsed(row, now, this.#options.guardMs + this.#options.longestOrderMs) ? 'gone' : 'lapsed'
  }
}
