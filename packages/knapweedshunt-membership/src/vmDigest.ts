import type { VmView } from 'knapweedshunt-types'

/** What one VM tells of a VM it knows; `heartbeat` grows while the VM lives. */
export interface VmDigest {
  view: VmView
  heartbeat: number
}
