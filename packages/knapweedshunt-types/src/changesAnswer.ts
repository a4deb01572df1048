import type { Revision } from './ids.ts'
import type { ResourceChange } from './resourceChange.ts'
import type { ResourceSnapshot } from './resourceSnapshot.ts'

/** Answer to `control.changes`: what a VM has accepted after a given revision. */
export interface ChangesAnswer {
  /** Latest revision of the VM. */
  revision: Revision
  /** Changes after the given revision; null if the VM no longer has all of them. */
  changes: ResourceChange[] | null
  /** All resources if `changes` is null, otherwise null. */
  snapshot: ResourceSnapshot | null
}
