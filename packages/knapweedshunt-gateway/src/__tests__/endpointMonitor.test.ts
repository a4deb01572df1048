import test from 'ava'
import { HEALTH_OBSERVATION } from '../endpoints/endpointHealth.ts'
import { EndpointMonitor } from '../endpoints/endpointMonitor.ts'
import { EndpointRecord } from '../endpoints/endpointRecord.ts'

const ENDPOINT_COUNT = 140

/** Endpoints that are probed to tell crashed endpoints from lost links, at most, of all that a VM knows. */
const MAX_PROBES = 12

/** Starts the monitor of a VM that has heard nothing from its endpoints lately, with the endpoints of which none, some or all do not answer. */
function startMonitor (isAlive: (n: number) => boolean): { records: EndpointRecord[], probed: string[], monitor: EndpointMonitor } {
  const records = Array.from({ length: ENDPOINT_COUNT }, (_, n) => new EndpointRecord({ endpoint: `e${n}`, incarnation: `e${n}@1`, pool: 'p', address: '127.0.0.1:1', dataCentre: 'z', slots: 4, isDraining: false, softwareVersion: 'v1', models: [] }))
  for (const record of records) record.lastReceivedAtMs = -Infinity
  const probed: string[] = []
  const monitor = new EndpointMonitor({
    managementPort: {
      probe: async ({ endpoint }) => {
        probed.push(endpoint)
        await new Promise(resolve => setTimeout(resolve, 5))
        return isAlive(Number(endpoint.slice(1)))
      },
      pollKvStore: async () => ({ type: 'silent' }),
      readReport: async () => null,
      sendLoadCommand: async () => ({ type: 'lost' })
    },
    decisionLog: { record () {} } as never,
    findPool: () => null,
    listEndpoints: () => records,
    tryTakePermit: () => true,
    isCurrent: () => true
  })
  return { records, probed, monitor }
}

async function wait (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}

// Guards against a VM that probes all endpoints at once after a crash, cannot read the answers in time and takes all of them for lost.
test('after two endpoints crashed a few others are probed, and none of them counts as lost', async t => {
  const { records, probed, monitor } = startMonitor(n => n >= 2)
  for (const record of records.slice(0, 2)) monitor.recordObservation(record, HEALTH_OBSERVATION.unreached, 'refused')
  await wait(200)
  t.true(probed.length > 0 && probed.length <= MAX_PROBES, `${probed.length} probes`)
  t.is(records.filter(({ isReached }) => !isReached).length, 2)
})

// Guards against a VM without links that finds out only as a request fails at each endpoint.
test('a VM that has lost its links knows it of all endpoints soon', async t => {
  const { records, probed, monitor } = startMonitor(() => false)
  for (const record of records.slice(0, 2)) monitor.recordObservation(record, HEALTH_OBSERVATION.unreached, 'refused')
  await wait(500)
  t.is(probed.length, ENDPOINT_COUNT - 2)
  t.is(records.filter(({ isReached }) => isReached).length, 0)
})
