import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import test from 'ava'

const PROGRAM = fileURLToPath(new URL('programs/floodLines.ts', import.meta.url))

/** Bound on what may wait for the reader, with the one line that passes it. */
const MAX_WAITING_BYTES = 300 * 1024

test('a pipe that nobody reads neither blocks nor grows', async t => {
  const child = spawn(process.execPath, ['--import=tsx', '--conditions=source', PROGRAM], { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ROARR_LOG: 'true' } })
  t.teardown(() => child.kill('SIGKILL'))
  child.stdout.pause()
  const [told] = await once(child.stderr, 'data') as [Buffer]
  const { dropped, waitingBytes } = JSON.parse(told.toString()) as { dropped: number, waitingBytes: number }
  t.true(dropped > 40_000, `${dropped} lines were dropped`)
  t.true(waitingBytes <= MAX_WAITING_BYTES, `${waitingBytes} bytes wait`)
})
