import type { Row } from 'knapweedshunt-platform'
import type { EndpointEntry } from './endpointEntry.ts'
import type { GatewayConfig } from './gatewayConfig.ts'

/** Target version of a model's weights, set by the operator. */
export interface TargetWeights {
  model: string
  version: number
}

/** Decoded row of the operator's resources. */
export type ResourceRow =
  | { type: 'config', config: GatewayConfig }
  | { type: 'weights', weights: TargetWeights }
  /** A resource that the router does not use. */
  | { type: 'other' }
  | { type: 'unreadable', reason: string }

/** Decoded row of the endpoint table. */
export type EndpointRow =
  | { type: 'endpoint', entry: EndpointEntry }
  | { type: 'unreadable', reason: string }

/** Names of the deployment's tables and the decoding of their rows. */
export interface DirectoryPort {
  resourceTable: string
  endpointTable: string
  decodeResource (row: Row): ResourceRow
  decodeEndpoint (row: Row): EndpointRow
}
