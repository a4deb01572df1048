import { once } from 'node:events'
import { setImmediate } from 'node:timers/promises'
import { Worker } from 'node:worker_threads'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { HttpError, requestJson, sleep } from '../index.ts'

const TIMEOUT_MS = 200

/** Time for which the process is held up, in milliseconds. */
const HOLD_UP_MS = 500

/** Starts a server in a thread of its own, which answers each request after a time; never if that is null. */
async function startAnsweringThread (t: ExecutionContext, answerDelayMs: number | null): Promise<string> {
  const thread = new Worker(new URL('./answeringThread.mjs', import.meta.url), { workerData: { answerDelayMs } })
  t.teardown(async () => { await thread.terminate() })
  const [port] = await once(thread, 'message')
  return `http://127.0.0.1:${port}`
}

function holdUp (): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, HOLD_UP_MS)
}

// Guards against an answer that had arrived and counts as missing, as the timer of its timeout ran before it was read.
test.serial('an answer that arrives while the process is held up is in time', async t => {
  const url = await startAnsweringThread(t, TIMEOUT_MS / 4)
  const answer = requestJson({ method: 'GET', url, timeoutMs: TIMEOUT_MS })
  await sleep(TIMEOUT_MS / 8)
  await setImmediate() // Timers are next, before arrivals are read.
  holdUp()
  t.is((await answer).status, 200)
})

// Guards against endpoints and VMs that count as unreached although nothing had been sent to them.
test.serial('a request that is sent only after the process was held up has time for its answer', async t => {
  const url = await startAnsweringThread(t, TIMEOUT_MS / 4)
  const answer = requestJson({ method: 'GET', url, timeoutMs: TIMEOUT_MS })
  holdUp()
  t.is((await answer).status, 200)
})

test.serial('a request without an answer fails at its timeout, and within twice of it after the process was held up', async t => {
  const url = await startAnsweringThread(t, null)
  for (const isHeldUp of [false, true]) {
    const startedAtMs = performance.now()
    const answer = requestJson({ method: 'GET', url, timeoutMs: TIMEOUT_MS })
    if (isHeldUp) holdUp()
    const heldUpMs = performance.now() - startedAtMs
    const error = await t.throwsAsync(answer, { instanceOf: HttpError })
    t.is(error?.message, `no answer within ${TIMEOUT_MS} ms\nGET ${url} failed.`)
    const elapsedMs = performance.now() - startedAtMs
    t.true(elapsedMs >= TIMEOUT_MS && elapsedMs < heldUpMs + 2 * TIMEOUT_MS, `${elapsedMs} ms, held up for ${heldUpMs} ms`)
  }
})
