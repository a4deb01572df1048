import type { DataCentreId } from 'knapweedshunt-types'

/** The router's own data centre and the near ones that are treated as part of it. */
export class NearDataCentres {
  readonly own: DataCentreId
  readonly #near: Set<DataCentreId>

  constructor (own: DataCentreId, near: DataCentreId[]) {
    this.own = own
    this.#near = new Set([own, ...near])
  }

  /** Whether a data centre is the router's own or a near one. */
  has (dataCentre: DataCentreId): boolean {
    return this.#near.has(dataCentre)
  }

  /** Returns the data centre by which endpoints are grouped: the router's own for near ones. */
  resolveDataCentre (dataCentre: DataCentreId): DataCentreId {
    return this.#near.has(dataCentre) ? this.own : dataCentre
  }
}
