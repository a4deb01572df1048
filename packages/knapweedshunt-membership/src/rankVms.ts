import type { VmId } from 'knapweedshunt-types'

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Hashes a text to an unsigned 32-bit integer: FNV-1a with the MurmurHash3 finalizer, which spreads similar texts evenly. */
export function hashToUint32 (text: string): number {
  let hash = FNV_OFFSET
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Ranks VMs for a task by rendezvous hashing: every VM computes the same ranking without exchanging messages. */
export function rankVms (task: string, vms: VmId[]): VmId[] {
  const scoredVms = vms.map(vm => ({ vm, score: hashToUint32(`${task}|${vm}`) }))
  scoredVms.sort((a, b) => b.score - a.score || (a.vm < b.vm ? -1 : 1))
  return scoredVms.map(one => one.vm)
}

/** Finds the first VM of {@link rankVms} without sorting; null when there are no VMs. */
export function findTopRankedVm (task: string, vms: VmId[]): VmId | null {
  let topVm: VmId | null = null
  let topScore = -1
  for (const vm of vms) {
    const score = hashToUint32(`${task}|${vm}`)
    if (score < topScore || (score === topScore && topVm !== null && topVm < vm)) continue
    topScore = score
    topVm = vm
  }
  return topVm
}
