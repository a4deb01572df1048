import test from 'ava'
import { CallerServer } from '../callers/callerServer.ts'
import type { CallerRequestHandler } from '../callers/callerRequestHandler.ts'
import { drainCallers } from '../callers/drainCallers.ts'
import { StopWindow } from '../flow/stopWindow.ts'
import { HeldUpCallers } from '../../../knapweedshunt-utils/src/__tests__/heldUpCallers.ts'

const COUNT = 30

/** The listener closes at half of it, while the process is held up. */
const DRAIN_GRACE_MS = 400
const HOLD_MS = 300

for (const [title, calls] of Object.entries({
  'kept connections': { keptCount: COUNT, newCount: 0 },
  'new connections': { keptCount: 0, newCount: COUNT }
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
    const drained = drainCallers({ callerServer: server, requestHandler, stopWindow: new StopWindow({ findLongestMs: () => null }), drainGraceMs: DRAIN_GRACE_MS, recordPhase () {} })
    const outcomes = await callers.callWhileHeldUp(HOLD_MS)
    t.deepEqual(outcomes, Array<string>(COUNT).fill('503'))
    await drained
  })
}
