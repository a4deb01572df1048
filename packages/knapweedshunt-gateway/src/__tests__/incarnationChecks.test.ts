import test from 'ava'
import { sleep } from 'knapweedshunt-utils'
import { EndpointRecord } from '../endpoints/endpointRecord.ts'
import { IncarnationChecks } from '../endpoints/incarnationChecks.ts'
import type { EndpointReport } from '../ports/managementPort.ts'
import type { Decision } from '../records/decision.ts'

const REPORT: EndpointReport = { incarnation: 'e@1', models: [], isBusy: false, ordersTaken: 0, running: 0, queued: 0 }

/** Time after which a check is made anew, in milliseconds. */
const CHECK_AGAIN_MS = 350

function createSetup () {
  const decisions: Decision[] = []
  const setup = { decisions, report: REPORT as EndpointReport | null, ageMs: 10_000, permits: 100, reportCount: 0 }
  const checks = new IncarnationChecks({
    managementPort: {
      readReport: async () => {
        setup.reportCount++
        await sleep(5)
        return setup.report
      }
    },
    decisionLog: { record: decision => { decisions.push(decision) } },
    getEndpointsAgeMs: () => setup.ageMs,
    tryTakePermit: () => setup.permits-- > 0
  })
  const record = new EndpointRecord({ endpoint: 'e', incarnation: 'e@1', pool: 'lm', address: '127.0.0.1:9', dataCentre: 'z1', slots: 8, isDraining: false, softwareVersion: 'v1', models: [] })
  return Object.assign(setup, { isConfirmed: (checked = record) => checks.isConfirmed(checked), record })
}

// Guards against calls to endpoints whose rows are read all the time.
test('no report is asked for while the table is fresh', async t => {
  const setup = createSetup()
  setup.ageMs = 3_000
  setup.report = { ...REPORT, incarnation: 'e@2' }
  t.true(await setup.isConfirmed())
  t.is(setup.reportCount, 0)
})

// Guards against a report for each stream.
test('streams of a short time share one report', async t => {
  const setup = createSetup()
  t.deepEqual(await Promise.all(Array.from({ length: 20 }, () => setup.isConfirmed())), Array<boolean>(20).fill(true))
  t.true(await setup.isConfirmed())
  t.is(setup.reportCount, 1)
  await sleep(CHECK_AGAIN_MS)
  setup.report = { ...REPORT, incarnation: 'e@2' }
  t.false(await setup.isConfirmed(), 'asked again')
  t.is(setup.reportCount, 2)
})

// Guards against an endpoint that stays left out although its row has been read.
test('another start is logged with both, and not believed until the row is read', async t => {
  const setup = createSetup()
  setup.report = { ...REPORT, incarnation: 'e@2' }
  t.false(await setup.isConfirmed())
  t.deepEqual(setup.decisions, [{ type: 'incarnationUnconfirmed', endpoint: 'e', incarnation: 'e@1', reported: 'e@2', reason: 'other start', tableAgeMs: 10_000 }])
  t.true(await setup.isConfirmed(new EndpointRecord({ ...setup.record.entry, incarnation: 'e@2', softwareVersion: 'v2' })))
  setup.ageMs = 100
  t.true(await setup.isConfirmed())
})

// Guards against a silent endpoint, or one that may not be asked, that is taken for the one of its row.
test('an endpoint without a report is not believed', async t => {
  const setup = createSetup()
  setup.report = null
  t.false(await setup.isConfirmed())
  const limited = createSetup()
  limited.permits = 0
  t.false(await limited.isConfirmed())
  t.is(limited.reportCount, 0)
  t.deepEqual([...setup.decisions, ...limited.decisions].map(decision => decision.type === 'incarnationUnconfirmed' && decision.reason), ['no report', 'no permit'])
  limited.permits = 1
  t.true(await limited.isConfirmed(), 'a missing permit is not remembered')
})

// Guards against endpoints of other builds that get no streams.
test('an endpoint whose report states no start is believed', async t => {
  const setup = createSetup()
  setup.report = { ...REPORT, incarnation: null }
  t.true(await setup.isConfirmed())
  t.is(setup.decisions.length, 0)
})
