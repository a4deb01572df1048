import { once } from 'node:events'
import { setImmediate } from 'node:timers/promises'
import { Worker } from 'node:worker_threads'
import test from 'ava'
import { hasStoppedListening } from '../endpoints/hasStoppedListening.ts'

const TIMEOUT_MS = 1_000

/** Turns of the event loop within which a connection on this machine is open. */
const CONNECT_TURNS = 5

/** Time for which the process is held up, in milliseconds. */
const HOLD_UP_MS = 150

// Guards against a body cut by its endpoint's end that counts as whole, as the VM was held up while it looked.
test.serial('an endpoint that ends while the process is held up has stopped listening', async t => {
  const thread = new Worker(new URL('./endingThread.mjs', import.meta.url), { workerData: { endDelayMs: 10 } })
  t.teardown(async () => { await thread.terminate() })
  const [port] = await once(thread, 'message')
  const hasStopped = hasStoppedListening(`127.0.0.1:${port}`, TIMEOUT_MS)
  for (let turn = 0; turn < CONNECT_TURNS; turn++) await setImmediate()
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, HOLD_UP_MS) // Timers are next, before arrivals are read.
  t.true(await hasStopped)
})
