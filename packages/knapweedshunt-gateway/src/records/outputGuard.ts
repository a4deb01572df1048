import { ROARR } from 'roarr'

/** Bytes waiting for the reader of the output from which on lines are dropped. */
const MAX_WAITING_BYTES = 256 * 1024

/** Where lines go. */
export interface LineOutput {
  readonly writableLength: number
  write (text: string): unknown
}

/** Lines dropped since the start. */
export interface OutputGuard {
  readonly dropped: number
}

/** Sends log lines to the output; while its reader is slower than the lines, lines are dropped and counted. */
export function startOutputGuard (output: LineOutput): OutputGuard {
  const guard = { dropped: 0 }
  let told = 0
  ROARR.write = line => {
    if (output.writableLength > MAX_WAITING_BYTES) {
      guard.dropped++
      return
    }
    if (guard.dropped > told) output.write(JSON.stringify({ message: 'gateway: Lines dropped.', context: { decision: 'linesDropped', count: guard.dropped - told } }) + '\n')
    told = guard.dropped
    output.write(line + '\n')
  }
  return guard
}
