import type { Incarnation, Revision, VmId, VmView } from 'knapweedshunt-types'
import type { EndpointBoardDelta } from './endpointBoardDelta.ts'

/** Short name of a VM incarnation in messages: its first 8 characters. */
export type VmKey = string

/** Greatest version known of each VM incarnation; a version grows with every heartbeat. */
export type VmVersions = Record<VmKey, number>

/** A VM process that is dead for its teller. */
export interface DeadVm {
  vm: VmId
  order: number
}

/** What a VM thinks of the other VMs of its data centre. */
export interface VmClaims {
  suspects: VmKey[]
  dead: DeadVm[]
}

/** What is new of one VM; fields that did not change since the receiver's version are left out. Field names are short since they travel often. */
export interface VmDelta {
  /** Key of the VM incarnation. */
  k: VmKey
  /** Version, that is, heartbeat. */
  v: number
  /** Present when pushed unasked: the receiver must have this version at least, else it drops the delta. */
  s?: number
  /** The VM itself; always sent to a receiver that does not know the incarnation. */
  view?: VmView
  /** Applied revision. */
  r?: Revision
  /** Whether the VM's last look at the platform was answered. */
  p?: boolean
  c?: VmClaims
  /** Endpoints that the VM polls. */
  e?: EndpointBoardDelta
}

/** Short name of an incarnation. */
export function nameVmKey (incarnation: Incarnation): VmKey {
  return incarnation.slice(0, 8)
}
