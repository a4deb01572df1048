import type { Revision } from './ids.ts'
import type { ResourceChange } from './resourceChange.ts'
import type { ResourceSnapshot } from './resourceSnapshot.ts'

/** What a VM has after a revision. */
export interface ChangesAnswer {
  revision: Revision
  /** Null when they are no longer all kept. */
  changes: ResourceChange[] | null
  /** All resources, only when `changes` is null. */
  snapshot: ResourceSnapshot | null
}
