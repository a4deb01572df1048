import type { VmId } from 'knapweedshunt-types'

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Hashes a text to 32 bits, well mixed. */
export function hashNumber (text: string): number {
  let hash = FNV_OFFSET
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Ranks VMs for a task by rendezvous hashing: every VM computes the same ranking without a message. */
export function rankVms (task: string, vms: VmId[]): VmId[] {
  const scored = vms.map(vm => ({ vm, score: hashNumber(`${task}|${vm}`) }))
  scored.sort((a, b) => b.score - a.score || (a.vm < b.vm ? -1 : 1))
  return scored.map(one => one.vm)
}

/** First VM of {@link rankVms}. */
export function findFirstVm (task: string, vms: VmId[]): VmId | null {
  let first: VmId | null = null
  let best = -1
  for (const vm of vms) {
    const score = hashNumber(`${task}|${vm}`)
    if (score < best || (score === best && first !== null && first < vm)) continue
    best = score
    first = vm
  }
  return first
}
