import type { DataCentreId, EndpointName, Incarnation, PoolName } from 'knapweedshunt-types'

/** Weights that an endpoint runs. */
export interface ServedModel {
  model: string
  version: number
}

/** An endpoint as it announced itself. */
export interface EndpointEntry {
  /** Name that the endpoint answers to; requests carry it, as addresses are used again. */
  endpoint: EndpointName
  /** Changes with each start, also under the same name. */
  incarnation: Incarnation
  pool: PoolName
  /** IP number and port. */
  address: string
  dataCentre: DataCentreId
  /** Requests that it runs at the same time. */
  slots: number
  isDraining: boolean
  models: ServedModel[]
}
