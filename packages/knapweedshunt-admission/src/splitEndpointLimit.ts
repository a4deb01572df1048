import type { VmId } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'
import { splitByDemand } from './peerDemands.ts'
import type { VmAllocation, VmDemand } from './peerDemands.ts'

/** Sharing VMs at any limit, and in addition per request per second of the limit. Each VM may send one request at once, so their number bounds what the endpoint gets beyond its limit. */
const MIN_SHARING_VMS = 3
const SHARING_VMS_PER_RATE = 2

const HASH_HEX_DIGITS = 12

/** What a limit is split by. */
export interface LimitSplit {
  requestsPerS: number
  /** All VMs that may send requests. */
  vms: VmId[]
  /** Demands of the VMs that report them; the others count with an equal share. */
  reporting: VmDemand[]
  /** Returns a number in (0, 1) that is the same for this VM and endpoint at all VMs. */
  getFraction (vm: VmId): number
}

/**
 * Splits a rate limit of an endpoint among the VMs; those that are not listed in the result may send it nothing. All VMs
 * that know the same reports compute the same split. A small limit is split among few VMs, chosen by weighted rendezvous
 * hashing: with many, the first request of each would exceed it.
 */
export function splitEndpointLimit ({ requestsPerS, vms, reporting, getFraction }: LimitSplit): VmAllocation[] {
  const known = reporting.filter(({ vm }) => vms.includes(vm))
  const reportingNames = new Set(known.map(({ vm }) => vm))
  const equalAmount = requestsPerS / vms.length
  const silent = vms.filter(vm => !reportingNames.has(vm)).map(vm => ({ vm, amount: equalAmount }))
  const allocations = [...known.length === 0 ? [] : splitByDemand(equalAmount * known.length, known), ...silent]
  const maxCount = MIN_SHARING_VMS + Math.floor(requestsPerS * SHARING_VMS_PER_RATE)
  if (allocations.length <= maxCount) return allocations
  const sharing = allocations.map(allocation => ({ allocation, score: -allocation.amount / Math.log(getFraction(allocation.vm)) })).sort((a, b) => b.score - a.score).slice(0, maxCount).map(({ allocation }) => allocation)
  const total = sharing.reduce((sum, { amount }) => sum + amount, 0)
  return sharing.map(({ vm, amount }) => ({ vm, amount: requestsPerS * amount / total }))
}

/** Computes a number in (0, 1) from a hash of the endpoint and the VM. */
export function computeFraction (endpoint: string, vm: VmId): number {
  return (parseInt(hashText(endpoint, vm).slice(0, HASH_HEX_DIGITS), 16) + 1) / (16 ** HASH_HEX_DIGITS + 1)
}
