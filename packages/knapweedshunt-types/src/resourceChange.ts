import type { Resource, ResourceKind } from './resource.ts'
import type { Revision } from './ids.ts'

/** One step of a change. */
export type ResourceOp =
  | { type: 'put', resource: Resource }
  | { type: 'delete', kind: ResourceKind, name: string }

/** An accepted change; its operations take effect together. */
export interface ResourceChange {
  revision: Revision
  /** Random id chosen by the operator's client; the same id is accepted once. */
  changeId: string
  ops: ResourceOp[]
}
