import type { Row } from 'knapweedshunt-platform'
import type { EndpointEntry } from './endpointEntry.ts'
import type { GatewayConfig } from './gatewayConfig.ts'

/** Weights that the operator wishes for a model. */
export interface WishedWeights {
  model: string
  version: number
}

/** An operator's row. */
export type ResourceRow =
  | { type: 'config', config: GatewayConfig }
  | { type: 'weights', weights: WishedWeights }
  /** Nothing that concerns the router. */
  | { type: 'other' }
  | { type: 'unreadable', reason: string }

/** An endpoint's row. */
export type EndpointRow =
  | { type: 'endpoint', entry: EndpointEntry }
  | { type: 'unreadable', reason: string }

/** Tables of the deployment and what their rows hold. */
export interface DirectoryPort {
  resourceTable: string
  endpointTable: string
  readResource (row: Row): ResourceRow
  readEndpoint (row: Row): EndpointRow
}
