import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import type { Row } from 'knapweedshunt-platform'
import { VmRoster } from '../directory/vmRoster.ts'
import { DecisionLog } from '../records/decisionLog.ts'
import { UnreadableRowLog } from '../records/unreadableRowLog.ts'

const LOG = { debug () {}, info () {}, warn () {}, error () {} }

function buildRoster (): { roster: VmRoster, unreadable: string[], calls: string[] } {
  const unreadable: string[] = []
  const calls: string[] = []
  const roster = new VmRoster({
    platform: new MemoryPlatform(),
    self: { vm: 'own', incarnation: 'own@1', dataCentre: 'z' },
    log: LOG,
    signal: AbortSignal.abort(),
    onMark: ({ mark }) => {
      calls.push(`mark ${mark.fingerprint}`)
      if (mark.fingerprint === 'fails') throw new RangeError('Maximum call stack size exceeded')
    },
    buildPartEvidence: () => ({ reports: [], quarantines: [], clearings: [] }),
    onPartEvidence: ({ from }) => calls.push(`parts ${from}`),
    onLimitReport: ({ vm }) => calls.push(`limit ${vm}`),
    onPoolVersions: ({ pool }) => calls.push(`versions ${pool}`),
    onMarkEvicted: () => {},
    onUnwritten: () => {},
    onUnreadable: ({ key }) => unreadable.push(key),
    onWaveNotice: ({ pool }) => calls.push(`wave ${pool}`)
  })
  return { roster, unreadable, calls }
}

const VM = { vm: 'a', incarnation: 'a@1', dataCentre: 'z', peer: { url: 'http://127.0.0.1:81', key: 'k' } }
const WAVE = { vm: 'a', pool: 'p', model: 'm', version: 2, loading: ['e1'], reached: [], endedFencing: null, isLeaving: false }
const CRASH = { incarnation: 'a@1', marks: [{ n: 1, atMs: Date.now(), mark: { type: 'crashed', fingerprint: 'f', crashes: [{ ids: ['c'], endpoint: 'e1', startedAgeMs: 20, crashedAgeMs: 0 }] } }] }
const PART = { incarnation: 'a@1', atMs: Date.now(), evidence: { reports: [], quarantines: [], clearings: [] } }
const LIMIT = { vm: 'a', incarnation: 'a@1', report: { demands: { p: 1 }, statements: [] } }
const VERSIONS = { pool: 'p', softwareVersions: ['v1'], changedAtMs: Date.now() }
const SOUND: Array<[string, unknown]> = [['vm/a', VM], ['wave/p', WAVE], ['crash/a', CRASH], ['part/a', PART], ['limit/a', LIMIT], ['versions/p', VERSIONS]]
const SOUND_CALLS = ['wave p', 'mark f', 'parts a@1', 'limit a', 'versions p']

function nest (depth: number): unknown {
  return JSON.parse('['.repeat(depth) + ']'.repeat(depth))
}

const ODD: Array<[string, string, unknown]> = [
  ...['vm/x', 'wave/x', 'crash/x', 'part/x', 'limit/x', 'versions/x'].flatMap((key): Array<[string, string, unknown]> => [
    [`${key} without JSON`, key, undefined], [`${key} with null`, key, null], [`${key} with a number`, key, 7], [`${key} with a list`, key, []], [`${key} without fields`, key, {}],
    [`${key} nested 200,000 deep`, key, nest(200_000)], [`${key} with a prototype`, key, JSON.parse('{"__proto__":{"vm":"x"}}')]
  ]),
  ['VM under another key', 'vm/x', VM], ['VM with a name of 1 MB', 'vm/x', { ...VM, vm: 'x'.repeat(1e6) }], ['VM without an incarnation', 'vm/x', { ...VM, vm: 'x', incarnation: 1 }],
  ['VM at no URL', 'vm/x', { ...VM, vm: 'x', peer: { url: 'x', key: 'k' } }], ['VM at a port out of range', 'vm/x', { ...VM, vm: 'x', peer: { url: 'http://127.0.0.1:65536', key: 'k' } }],
  ['VM with another protocol', 'vm/x', { ...VM, vm: 'x', peer: { url: 'file:///x', key: 'k' } }], ['VM with a key of two lines', 'vm/x', { ...VM, vm: 'x', peer: { url: 'http://127.0.0.1:81', key: 'k\nk' } }],
  ['wave under another key', 'wave/x', WAVE], ['wave with version 1e300', 'wave/x', { ...WAVE, pool: 'x', version: 1e300 }], ['wave with a deep list', 'wave/x', { ...WAVE, pool: 'x', loading: nest(200_000) }], ['wave with an odd token', 'wave/x', { ...WAVE, pool: 'x', endedFencing: 1.5 }],
  ['wave with a negative age', 'wave/x', { ...WAVE, pool: 'x', versionAgeMs: -1 }],
  ['mark of a newer build', 'crash/x', { incarnation: 'x@1', marks: [{ n: 1, atMs: 1, mark: { type: 'unknown', fingerprint: 'f' } }] }], ['mark numbered 1e300', 'crash/x', { incarnation: 'x@1', marks: [{ ...CRASH.marks[0], n: 1e300 }] }],
  ['mark that fails', 'crash/x', { incarnation: 'x@1', marks: [{ n: 1, atMs: Date.now(), mark: { type: 'cleared', fingerprint: 'fails', crashIds: [] } }] }],
  ['evidence with an odd share', 'part/x', { ...PART, evidence: { ...PART.evidence, reports: [{ id: 'r', endpoint: 'e', startedAgeMs: 1, crashedAgeMs: 1, lostShares: { part: 7 } }] } }], ['evidence from 1e300', 'part/x', { ...PART, atMs: 1e300 }],
  ['limit under another key', 'limit/x', LIMIT], ['limit below 0', 'limit/x', { ...LIMIT, vm: 'x', report: { demands: { p: -1 }, statements: [] } }],
  ['versions under another key', 'versions/x', VERSIONS], ['versions since 1e300', 'versions/x', { ...VERSIONS, pool: 'x', changedAtMs: 1e300 }], ['version of 1 MB', 'versions/x', { ...VERSIONS, pool: 'x', softwareVersions: ['v'.repeat(1e6)] }]
]

// Guards against rows of the roster that are not applied, or VMs that are forgotten, because of a row that another writer has left before them.
for (const [name, key, value] of ODD) {
  test(`an odd row of the roster affects no other: ${name}`, t => {
    for (const type of ['rows', 'changes'] as const) {
      const { roster, unreadable, calls } = buildRoster()
      const rows: Row[] = [[key, value] as [string, unknown], ...SOUND].map(([key, value], n) => ({ key, value, version: n + 1 }))
      const update = type === 'rows' ? { type, rows, storeBackForMs: null } : { type, rows: rows.map(row => ({ ...row, isDeleted: false })) }
      t.notThrows(() => roster.applyUpdate(update))
      t.deepEqual(unreadable, [key])
      t.deepEqual(calls.filter(call => call !== 'mark fails'), SOUND_CALLS)
      t.is(roster.countVms(), 2)
    }
  })
}

test('a VM whose row became unreadable is still known', t => {
  const { roster } = buildRoster()
  roster.applyUpdate({ type: 'rows', rows: [{ key: 'vm/a', value: VM, version: 1 }], storeBackForMs: null })
  roster.applyUpdate({ type: 'changes', rows: [{ key: 'vm/a', value: 7, version: 2, isDeleted: false }] })
  roster.applyUpdate({ type: 'rows', rows: [{ key: 'vm/a', value: undefined, version: 3 }], storeBackForMs: null })
  t.deepEqual(roster.listPeers().map(({ vm }) => vm), ['a'])
})

test('a VM is no peer of its own under another name', t => {
  const { roster } = buildRoster()
  roster.announceSelf(VM.peer)
  roster.applyUpdate({ type: 'rows', rows: [{ key: 'vm/a', value: VM, version: 1 }], storeBackForMs: null })
  t.deepEqual(roster.listPeers(), [])
})

// Guards against a log that fills with one row, which full reads of a table return again and again.
test('an unreadable row is logged once until it changes, with a short reason', t => {
  const lines: Array<Record<string, unknown>> = []
  const log = new UnreadableRowLog(new DecisionLog({ ...LOG, warn: (_message, fields = {}) => lines.push(fields) }))
  for (let n = 0; n < 50; n++) log.record('servers', { key: 'a', version: 1, value: null }, 'x'.repeat(1e6))
  t.is(lines.length, 1)
  t.true(JSON.stringify(lines).length < 400)
  log.record('servers', { key: 'a', version: 2, value: null }, 'x')
  log.record('op', { key: 'a', version: 2, value: null }, 'x')
  t.is(lines.length, 3)
})
