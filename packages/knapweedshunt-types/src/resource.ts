import type { AccessKeySpec } from './accessKeySpec.ts'
import type { EndpointPoolSpec } from './endpointPoolSpec.ts'
import type { EndpointSpec } from './endpointSpec.ts'
import type { LimitSpec } from './limitSpec.ts'
import type { OrganisationSpec } from './organisationSpec.ts'
import type { PriorityClassSpec } from './priorityClassSpec.ts'
import type { RouteSpec } from './routeSpec.ts'
import type { WeightsRolloutSpec } from './weightsRolloutSpec.ts'
import type { Revision } from './ids.ts'

/** Kinds of declared resources. */
export const RESOURCE_KINDS = [
  'Organisation', 'AccessKey', 'EndpointPool', 'Endpoint', 'Route', 'PriorityClass', 'Limit', 'WeightsRollout'
] as const

/** One of {@link RESOURCE_KINDS}. */
export type ResourceKind = typeof RESOURCE_KINDS[number]

/** Maps each resource kind to the type of its spec. */
export interface SpecByKind {
  Organisation: OrganisationSpec
  AccessKey: AccessKeySpec
  EndpointPool: EndpointPoolSpec
  Endpoint: EndpointSpec
  Route: RouteSpec
  PriorityClass: PriorityClassSpec
  Limit: LimitSpec
  WeightsRollout: WeightsRolloutSpec
}

/** Declared resource of one kind; `revision` is that of the change that last wrote it. */
export interface ResourceOf<K extends ResourceKind> {
  kind: K
  name: string
  revision: Revision
  spec: SpecByKind[K]
}

/** Declared resource of any kind, discriminated by `kind`. */
export type Resource = { [K in ResourceKind]: ResourceOf<K> }[ResourceKind]
