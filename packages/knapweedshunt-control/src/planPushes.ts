import { rankVms } from 'knapweedshunt-membership'
import type { VmMembership } from 'knapweedshunt-membership'
import type { ResourceReplica } from 'knapweedshunt-resources'
import type { Revision } from 'knapweedshunt-types'
import type { ControlAction } from './controlEvents.ts'
import type { Caller, PushRequest } from './controlMessages.ts'

/** Most operations that are pushed along with a revision; with more, the receiver asks. */
const PUSHED_OPS = 50

/** A revision that a VM has come to hold. */
export interface Growth {
  vms: VmMembership
  replica: ResourceReplica
  caller: Caller
  /** Revision held before. */
  before: Revision
  /** The platform gave it, not a peer. */
  isFromPlatform: boolean
  fanOut: number
}

/** Lists the pushes that pass a revision on: a tree over the live VMs, ranked by the revision. Who has it from the platform starts at the root. */
export function planPushes ({ vms, replica, caller, before, isFromPlatform, fanOut }: Growth): ControlAction[] {
  const { revision } = replica.snapshot
  const ranked = rankVms(String(revision), vms.listLive())
  const at = ranked.indexOf(caller.vm)
  const children = at === -1 ? [] : ranked.slice(fanOut * at + 1, fanOut * at + 1 + fanOut)
  const receivers = isFromPlatform && at > 0 ? [ranked[0], ...children] : children
  const changes = replica.listChangesAfter(before)
  const isSmall = changes !== null && changes.reduce((sum, change) => sum + change.ops.length, 0) <= PUSHED_OPS
  const push: PushRequest = { from: caller, revision, changes: isSmall ? changes : null }
  const urls = new Map(vms.listVms().map(view => [view.vm, view.controlUrl]))
  return receivers.filter(vm => vm !== caller.vm).map(vm => ({ type: 'push', url: urls.get(vm)!, push }))
}
