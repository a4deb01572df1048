import type { Resource, ResourceKind } from './resource.ts'
import type { Revision } from './ids.ts'

/** One operation of a change: creates or replaces a resource (`put`), or deletes it. */
export type ResourceOperation =
  | { type: 'put', resource: Resource }
  | { type: 'delete', kind: ResourceKind, name: string }

/** Accepted change; its operations take effect atomically. */
export interface ResourceChange {
  revision: Revision
  /** Random id chosen by the operator's client, used as an idempotency key: each id is accepted once. */
  changeId: string
  ops: ResourceOperation[]
}
