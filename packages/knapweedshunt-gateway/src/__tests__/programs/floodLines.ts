/** Writes far more log lines than a pipe buffers, then reports on stderr the time taken, the lines dropped and the bytes buffered. */
import { createLogger } from 'knapweedshunt-logger'
import { startLogOutputLimiter } from '../../records/logOutputLimiter.ts'

const LINES = 50_000
const FILLER = 'x'.repeat(200)

const limiter = startLogOutputLimiter(process.stdout)
const log = createLogger('flood')
const startedAtMs = performance.now()
for (let n = 0; n < LINES; n++) {
  log.info('Line.', { n, filler: FILLER })
  if (n % 100 === 0) await new Promise(resolve => setImmediate(resolve))
}
console.error(JSON.stringify({ tookMs: performance.now() - startedAtMs, dropped: limiter.droppedCount, waitingBytes: process.stdout.writableLength }))
process.exit(0)
