import net from 'node:net'
import { setImmediate } from 'node:timers/promises'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import { CallerServer } from '../callers/callerServer.ts'
import type { CallerRequestHandler } from '../callers/callerRequestHandler.ts'
import { drainCallers } from '../callers/drainCallers.ts'
import type { StopPhase } from '../records/decision.ts'
import { HeldUpCallers } from '../../../knapweedshunt-utils/src/__tests__/heldUpCallers.ts'

const COUNT = 30

/** The listener closes at half of it, while the process is held up. */
const DRAIN_GRACE_MS = 400
const DRAIN_DEADLINE_MS = 0.93 * DRAIN_GRACE_MS
const HOLD_MS = 300

/** Turns of the event loop in which what arrived in a hold is read: each accepts a connection, whose request the next one reads. */
const READING_TURNS = COUNT + 1

/** Duration of a turn of the event loop beside a crowd, in milliseconds, and turns until the end of a wait shows. */
const SLOW_TURN_MS = 50
const QUIET_TURNS = 2

/** Ends a stop after the turns that reading takes. How long these are, and so how many come before a deadline in milliseconds, is up to the machine. */
async function abortAfterReading (deadline: AbortController): Promise<void> {
  for (let turn = 0; turn < READING_TURNS; turn++) await setImmediate()
  deadline.abort()
}

for (const [title, { holdMs, ...calls }] of Object.entries({
  'kept connections': { keptCount: COUNT, newCount: 0, holdMs: HOLD_MS },
  'new connections': { keptCount: 0, newCount: COUNT, holdMs: HOLD_MS },
  'kept connections, beyond the deadline': { keptCount: COUNT, newCount: 0, holdMs: 2 * DRAIN_GRACE_MS }
})) {
  // Guards against requests that get no answer from a VM that was held up as it stopped.
  test.serial(`requests that reach a stopping VM while it is held up are refused: ${title}`, async t => {
    let isRefusing = false
    const server = new CallerServer((_request, response) => {
      response.statusCode = isRefusing ? 503 : 200
      response.end()
    })
    const requestHandler = { inFlight: 0, refuseNewRequests: () => { isRefusing = true }, stopRequests: () => {} } as unknown as CallerRequestHandler
    const callers = await HeldUpCallers.open({ ...calls, url: await server.start({ host: '127.0.0.1', port: 0 }) })
    const deadline = new AbortController()
    const isBeyondDeadline = holdMs > DRAIN_DEADLINE_MS
    if (isBeyondDeadline) setTimeout(() => deadline.abort(), DRAIN_DEADLINE_MS)
    let readStart: NodeJS.CpuUsage | null = null
    let readUs = 0
    const recordPhase = (phase: StopPhase) => {
      if (phase === 'refusing') readStart = process.cpuUsage()
      if (phase === 'refusing' && !isBeyondDeadline) abortAfterReading(deadline).catch(() => {})
      if (phase !== 'listenerClosed') return
      const { user, system } = process.cpuUsage(readStart!)
      readUs = user + system
    }
    const drained = drainCallers({ callerServer: server, requestHandler, drainGraceMs: DRAIN_GRACE_MS, deadline: deadline.signal, recordPhase })
    const outcomes = await callers.callWhileHeldUp(holdMs)
    t.deepEqual(outcomes, Array<string>(COUNT).fill('503'))
    await drained
    t.true(readUs / 1_000 <= DRAIN_DEADLINE_MS - HOLD_MS, `${readUs} µs`)
  })
}

// Guards against a process that does not end as more and more requests arrive while each turn of its event loop takes long.
test.serial('a stop ends by its deadline although requests keep arriving', async t => {
  const server = new CallerServer(() => {})
  const address = new URL(await server.start({ host: '127.0.0.1', port: 0 }))
  const socket = net.connect({ host: address.hostname, port: Number(address.port), noDelay: true })
  await new Promise<void>(resolve => socket.once('connect', () => resolve()))
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  t.teardown(() => {
    clock.uninstall()
    socket.destroy()
  })
  const requestHandler = { inFlight: 0, refuseNewRequests () {}, stopRequests () {} } as unknown as CallerRequestHandler
  const deadline = new AbortController()
  setTimeout(() => deadline.abort(), DRAIN_GRACE_MS)
  const drained = drainCallers({ callerServer: server, requestHandler, drainGraceMs: DRAIN_GRACE_MS, deadline: deadline.signal, recordPhase () {} })
  const state = { isDrained: false }
  drained.finally(() => { state.isDrained = true }).catch(() => {})
  while (!state.isDrained) {
    socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    clock.tick(SLOW_TURN_MS)
    await setImmediate()
  }
  t.true(performance.now() <= DRAIN_GRACE_MS + QUIET_TURNS * SLOW_TURN_MS, `${performance.now()}`)
})
