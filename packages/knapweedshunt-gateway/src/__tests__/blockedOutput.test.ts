import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import test from 'ava'

const PROGRAM = fileURLToPath(new URL('programs/floodLines.ts', import.meta.url))

/** Upper bound of the bytes buffered for the reader, plus the one line that exceeds it. */
const MAX_BUFFERED_BYTES = 300 * 1024

test('a log pipe without a reader neither blocks the process nor grows its buffer', async t => {
  const child = spawn(process.execPath, ['--import=tsx', '--conditions=source', PROGRAM], { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ROARR_LOG: 'true' } })
  t.teardown(() => child.kill('SIGKILL'))
  child.stdout.pause()
  const [report] = await once(child.stderr, 'data') as [Buffer]
  const { dropped, waitingBytes } = JSON.parse(report.toString()) as { dropped: number, waitingBytes: number }
  t.true(dropped > 40_000, `${dropped} lines dropped`)
  t.true(waitingBytes <= MAX_BUFFERED_BYTES, `${waitingBytes} bytes buffered`)
})
