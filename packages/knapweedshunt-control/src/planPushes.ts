import { rankVms } from 'knapweedshunt-membership'
import type { VmMembership } from 'knapweedshunt-membership'
import type { ResourceReplica } from 'knapweedshunt-resources'
import type { Revision } from 'knapweedshunt-types'
import type { ControlAction } from './controlEvents.ts'
import type { Caller, PushRequest } from './controlMessages.ts'

/** Greatest number of operations included in a push; with more, the receiver requests the changes itself. */
const MAX_PUSHED_OPS = 50

/** Advance of a VM's replica to a newer revision. */
export interface RevisionAdvance {
  vms: VmMembership
  replica: ResourceReplica
  caller: Caller
  /** Revision before the advance. */
  previousRevision: Revision
  /** Whether the new revision was read from the platform, rather than received from a peer. */
  isFromPlatform: boolean
  fanOut: number
}

/** Lists the pushes by which this VM propagates a revision along a tree of the live VMs, ranked anew for each revision. A VM that read the revision from the platform also pushes it to the root. */
export function planPushes ({ vms, replica, caller, previousRevision, isFromPlatform, fanOut }: RevisionAdvance): ControlAction[] {
  const { revision } = replica.snapshot
  const ranked = rankVms(String(revision), vms.listLive())
  const ownRank = ranked.indexOf(caller.vm)
  const children = ownRank === -1 ? [] : ranked.slice(fanOut * ownRank + 1, fanOut * ownRank + 1 + fanOut)
  const receivers = isFromPlatform && ownRank > 0 ? [ranked[0], ...children] : children
  const changes = replica.listChangesAfter(previousRevision)
  const isSmall = changes !== null && changes.reduce((sum, change) => sum + change.ops.length, 0) <= MAX_PUSHED_OPS
  const push: PushRequest = { from: caller, revision, changes: isSmall ? changes : null }
  const urls = new Map(vms.listVms().map(view => [view.vm, view.controlUrl]))
  return receivers.filter(vm => vm !== caller.vm).map(vm => ({ type: 'push', url: urls.get(vm)!, push }))
}
