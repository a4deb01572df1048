import { mkdirSync, writeFileSync } from 'node:fs'
import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'

/**
 * Measures how version stamps (Almeida, Baquero, Fonte: Version Stamps, decentralized version vectors) grow on this membership,
 * where VMs die without joining back, against pairs of incarnation and counter of the members that are not dead.
 */

const VMS = 27
const SEED = 5
const SYNCS_BETWEEN_DEATHS = 100
const DEATHS = [0, 5, 10, 20, 40, 80, 165]
const MAX_BYTES = 20_000
const INCARNATION_BYTES = 8
const COUNTER_BYTES = 4

/** A stamp of binary strings: what it knows and what it is. */
interface Stamp {
  update: Set<string>
  id: Set<string>
}

/** How two members bring each other up to date. */
type Sync = 'join and fork' | 'merge updates, keep ids'

interface StampRow {
  sync: Sync
  deaths: number
  syncs: number
  meanStampBytes: number
  maxStampBytes: number
  pairBytes: number
}

const rows = (['join and fork', 'merge updates, keep ids'] as const).flatMap(measure)
console.table(rows)
mkdirSync('docs/figures', { recursive: true })
writeFileSync('docs/figures/versionStamps.json', JSON.stringify({ vms: VMS, syncsBetweenDeaths: SYNCS_BETWEEN_DEATHS, rows }, null, 2) + '\n')

function measure (sync: Sync): StampRow[] {
  const rng = createRng(SEED)
  const members: Stamp[] = [{ update: new Set(['']), id: new Set(['']) }]
  while (members.length < VMS) addMember(members, rng)
  const found: StampRow[] = []
  let syncs = 0
  for (let deaths = 0; deaths <= DEATHS.at(-1)!; deaths++) {
    if (deaths > 0) replaceMember(members, rng)
    let largest = 0
    for (let i = 0; i < SYNCS_BETWEEN_DEATHS && largest <= MAX_BYTES; i++) {
      largest = Math.max(largest, syncTwo(members, rng, sync))
      syncs++
    }
    const sizes = members.map(countBytes)
    const row = { sync, deaths, syncs, meanStampBytes: Math.round(sizes.reduce((sum, size) => sum + size, 0) / VMS), maxStampBytes: Math.max(...sizes), pairBytes: VMS * (INCARNATION_BYTES + COUNTER_BYTES) }
    if (DEATHS.includes(deaths) || largest > MAX_BYTES) found.push(row)
    if (largest > MAX_BYTES) break
  }
  return found
}

/** A new member is forked from one that lives. */
function addMember (members: Stamp[], rng: Rng): void {
  const at = rng.int(members.length)
  const [kept, added] = forkStamp(members[at])
  members[at] = kept
  members.push(added)
}

/** A member dies with its id, and another is forked in its place. */
function replaceMember (members: Stamp[], rng: Rng): void {
  members.splice(rng.int(members.length), 1)
  addMember(members, rng)
}

/** Brings two members up to date; returns the greatest size of their stamps, in bytes. */
function syncTwo (members: Stamp[], rng: Rng, sync: Sync): number {
  const a = rng.int(members.length)
  const b = (a + 1 + rng.int(members.length - 1)) % members.length
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

/** Maximal elements of the union, by the order of prefixes. */
function joinNames (a: Set<string>, b: Set<string>): Set<string> {
  const sorted = [...new Set([...a, ...b])].sort()
  return new Set(sorted.filter((name, i) => i === sorted.length - 1 || !sorted[i + 1].startsWith(name)))
}

/** Collapses sibling ids, deepest first, and what is known of them. */
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

/** Each string as its bits and one byte of length. */
function countBytes ({ update, id }: Stamp): number {
  return [...update, ...id].reduce((sum, name) => sum + 1 + Math.ceil(name.length / 8), 0)
}
