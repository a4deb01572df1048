import type { Incarnation, Revision, VmId, VmView } from 'knapweedshunt-types'
import type { EndpointStatusDelta } from './endpointStatusDelta.ts'

/** Identifier of a VM incarnation in messages: its first 8 characters. */
export type VmKey = string

/** Gossip digest: the greatest known version of each VM incarnation; a version increases with every heartbeat. */
export type VmVersions = Record<VmKey, number>

/** A VM incarnation that the sender considers dead, and all earlier ones of that name with it. */
export interface DeadVm {
  vm: VmId
  order: number
}

/** Other VMs of the data centre that the sender considers suspect or dead. */
export interface VmFailureReport {
  suspects: VmKey[]
  dead: DeadVm[]
}

/** Changed state of one VM; fields unchanged since the receiver's version are left out. Field names are short because every exchange carries them. */
export interface VmDelta {
  /** Key of the VM incarnation. */
  k: VmKey
  /** Version, incremented by each heartbeat. */
  v: number
  /** Set in an unsolicited push: the receiver drops the delta unless it has at least this version. */
  s?: number
  /** The VM itself; always sent to a receiver that does not know the incarnation. */
  view?: VmView
  /** Applied revision. */
  r?: Revision
  /** Whether the VM's last read of the platform was answered. */
  p?: boolean
  /** Failure report. */
  c?: VmFailureReport
  /** Changed state of the endpoints, as the VM reports it. */
  e?: EndpointStatusDelta
}

/** Derives the key of an incarnation. */
export function buildVmKey (incarnation: Incarnation): VmKey {
  return incarnation.slice(0, 8)
}
