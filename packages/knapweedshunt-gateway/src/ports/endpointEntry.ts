import type { DataCentreId, EndpointName, Incarnation, PoolName } from 'knapweedshunt-types'

/** A model that an endpoint serves and the version of its weights. */
export interface ServedModel {
  model: string
  version: number
}

/** An endpoint as announced in its row. */
export interface EndpointEntry {
  /** Name of the endpoint; requests carry it, as addresses are reused. */
  endpoint: EndpointName
  /** Changes with each start of the endpoint. */
  incarnation: Incarnation
  pool: PoolName
  /** IP address and port. */
  address: string
  dataCentre: DataCentreId
  /** Maximum number of requests that the endpoint runs concurrently. */
  slots: number
  isDraining: boolean
  /** Version of the endpoint's software, not of its weights; empty if not stated. Endpoints of several versions may serve one pool. */
  softwareVersion: string
  models: ServedModel[]
}
