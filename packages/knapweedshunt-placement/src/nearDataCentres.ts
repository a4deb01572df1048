import type { DataCentreId } from 'knapweedshunt-types'

/** The router's own data centre and those that count as it. */
export class NearDataCentres {
  readonly own: DataCentreId
  readonly #near: Set<DataCentreId>

  constructor (own: DataCentreId, near: DataCentreId[]) {
    this.own = own
    this.#near = new Set([own, ...near])
  }

  /** Whether a data centre is the own one or near it. */
  has (dataCentre: DataCentreId): boolean {
    return this.#near.has(dataCentre)
  }

  /** Data centre by which a group of endpoints goes. */
  findGroup (dataCentre: DataCentreId): DataCentreId {
    return this.#near.has(dataCentre) ? this.own : dataCentre
  }
}
