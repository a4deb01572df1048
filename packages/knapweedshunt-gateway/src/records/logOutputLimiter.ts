import { ROARR } from 'roarr'

/** Number of buffered output bytes above which log lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024

/** Output for log lines, such as `process.stdout`. */
export interface LogOutput {
  readonly writableLength: number
  write (text: string): unknown
}

/** Counts the log lines dropped since the start. */
export interface LogOutputLimiter {
  readonly droppedCount: number
}

/** Writes log lines to the output. While the reader of the output is too slow, lines are dropped and counted, so that the buffer stays limited. */
export function startLogOutputLimiter (output: LogOutput): LogOutputLimiter {
  const limiter = { droppedCount: 0 }
  let reportedCount = 0
  ROARR.write = line => {
    if (output.writableLength > MAX_BUFFERED_BYTES) {
      limiter.droppedCount++
      return
    }
    if (limiter.droppedCount > reportedCount) output.write(JSON.stringify({ message: 'gateway: Lines dropped.', context: { decision: 'linesDropped', count: limiter.droppedCount - reportedCount } }) + '\n')
    reportedCount = limiter.droppedCount
    output.write(line + '\n')
  }
  return limiter
}
