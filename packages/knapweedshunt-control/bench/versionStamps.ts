import { mkdirSync, writeFileSync } from 'node:fs'
import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'

/**
 * Measures how version stamps (Almeida, Baquero, Fonte: Version Stamps, decentralized version vectors) grow under this membership,
 * where VMs die without joining their stamps back, compared with pairs of incarnation and counter for each member that is not dead.
 */

const VM_COUNT = 27
const SEED = 5
const SYNCS_BETWEEN_DEATHS = 100
const DEATH_COUNTS = [0, 5, 10, 20, 40, 80, 165]
const MAX_STAMP_BYTES = 20_000
const INCARNATION_BYTES = 8
const COUNTER_BYTES = 4

/** A version stamp of binary strings: `update` holds the updates it has seen, `id` identifies its holder. */
interface Stamp {
  update: Set<string>
  id: Set<string>
}

/** How two members synchronise their stamps. */
type Sync = 'join and fork' | 'merge updates, keep ids'

interface StampRow {
  sync: Sync
  deaths: number
  syncs: number
  meanStampBytes: number
  maxStampBytes: number
  pairBytes: number
}

const rows = (['join and fork', 'merge updates, keep ids'] as const).flatMap(measureGrowth)
console.table(rows)
mkdirSync('docs/figures', { recursive: true })
writeFileSync('docs/figures/versionStamps.json', JSON.stringify({ vms: VM_COUNT, syncsBetweenDeaths: SYNCS_BETWEEN_DEATHS, rows }, null, 2) + '\n')

function measureGrowth (sync: Sync): StampRow[] {
  const rng = createRng(SEED)
  const members: Stamp[] = [{ update: new Set(['']), id: new Set(['']) }]
  while (members.length < VM_COUNT) addMember(members, rng)
  const results: StampRow[] = []
  let syncs = 0
  for (let deaths = 0; deaths <= DEATH_COUNTS.at(-1)!; deaths++) {
    if (deaths > 0) replaceMember(members, rng)
    let largest = 0
    for (let i = 0; i < SYNCS_BETWEEN_DEATHS && largest <= MAX_STAMP_BYTES; i++) {
      largest = Math.max(largest, syncRandomPair(members, rng, sync))
      syncs++
    }
    const sizes = members.map(countBytes)
    const row = { sync, deaths, syncs, meanStampBytes: Math.round(sizes.reduce((sum, size) => sum + size, 0) / VM_COUNT), maxStampBytes: Math.max(...sizes), pairBytes: VM_COUNT * (INCARNATION_BYTES + COUNTER_BYTES) }
    if (DEATH_COUNTS.includes(deaths) || largest > MAX_STAMP_BYTES) results.push(row)
    if (largest > MAX_STAMP_BYTES) break
  }
  return results
}

/** Adds a member whose stamp is forked from a random live member. */
function addMember (members: Stamp[], rng: Rng): void {
  const memberIndex = rng.drawInt(members.length)
  const [retainedStamp, newStamp] = forkStamp(members[memberIndex])
  members[memberIndex] = retainedStamp
  members.push(newStamp)
}

/** Removes a random member together with its id, and adds a newly forked one. */
function replaceMember (members: Stamp[], rng: Rng): void {
  members.splice(rng.drawInt(members.length), 1)
  addMember(members, rng)
}

/** Records an update on a random member and synchronises it with another; returns the size of the larger resulting stamp, in bytes. */
function syncRandomPair (members: Stamp[], rng: Rng, sync: Sync): number {
  const a = rng.drawInt(members.length)
  const b = (a + 1 + rng.drawInt(members.length - 1)) % members.length
  members[a] = { update: new Set(members[a].id), id: members[a].id }
  const update = joinNames(members[a].update, members[b].update)
  if (sync === 'merge updates, keep ids') {
    members[a] = { update, id: members[a].id }
    members[b] = { update, id: members[b].id }
    return Math.max(countBytes(members[a]), countBytes(members[b]))
  }
  const joined = reduceStamp({ update, id: joinNames(members[a].id, members[b].id) })
  const [first, second] = forkStamp(joined)
  members[a] = first
  members[b] = second
  return countBytes(first)
}

function forkStamp ({ update, id }: Stamp): [Stamp, Stamp] {
  return [{ update, id: appendDigit(id, '0') }, { update, id: appendDigit(id, '1') }]
}

function appendDigit (names: Set<string>, digit: string): Set<string> {
  return new Set([...names].map(name => name + digit))
}

/** Returns the maximal elements of the union under the prefix order. */
function joinNames (a: Set<string>, b: Set<string>): Set<string> {
  const sorted = [...new Set([...a, ...b])].sort()
  return new Set(sorted.filter((name, i) => i === sorted.length - 1 || !sorted[i + 1].startsWith(name)))
}

/** Collapses sibling ids into their parent, and their updates with them. */
function reduceStamp ({ update, id }: Stamp): Stamp {
  const ids = new Set(id)
  const known = new Set(update)
  const queue = [...ids]
  while (queue.length > 0) {
    const name = queue.pop()!
    const parent = name.slice(0, -1)
    if (name === '' || !ids.has(`${parent}0`) || !ids.has(`${parent}1`)) continue
    for (const digit of ['0', '1']) ids.delete(parent + digit)
    const isKnown = ['0', '1'].map(digit => known.delete(parent + digit)).includes(true)
    if (isKnown) known.add(parent)
    ids.add(parent)
    queue.push(parent)
  }
  return { update: known, id: ids }
}

/** Counts the encoded size: one length byte and the packed bits for each string. */
function countBytes ({ update, id }: Stamp): number {
  return [...update, ...id].reduce((sum, name) => sum + 1 + Math.ceil(name.length / 8), 0)
}
