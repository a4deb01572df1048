import type { Resource } from './resource.ts'
import type { Revision } from './ids.ts'

/** Snapshot of all resources at one revision. */
export interface ResourceSnapshot {
  revision: Revision
  resources: Resource[]
}
