import type { PooledStream } from 'knapweedshunt-attempts'
import type { Row } from 'knapweedshunt-platform'
import type { VmId } from 'knapweedshunt-types'
import { describeFirstIssue, groupBy } from 'knapweedshunt-utils'
import { z } from 'zod'
import type { DecisionLog } from '../records/decisionLog.ts'

/** Name of the table of streams; no VM follows it. */
export const STREAM_TABLE = 'knapweedshunt-streams'

/** Maximum number of rows of one VM that are read; its incarnations write fewer. */
export const MAX_VM_STREAM_ROWS = 100

const KEY_BYTES = 16

const STREAM_KEY = /^[0-9a-f]{32}$/

const streamKeys = z.base64().refine(keys => Buffer.byteLength(keys, 'base64') % KEY_BYTES === 0, `has a length that is no multiple of ${KEY_BYTES} bytes`)

/** Row of streams; `writtenAtMs` is wall-clock time in Unix milliseconds, `keys` joins the keys of the streams that one software version began in a pool, in base64. */
const streamRowSchema = z.object({
  writtenAtMs: z.number(),
  groups: z.array(z.object({ pool: z.string().min(1), softwareVersion: z.string(), keys: streamKeys }))
})

/** Value of a row of streams. */
export type StreamRow = z.output<typeof streamRowSchema>

/** Builds the beginning of the keys of a VM's rows. */
export function buildStreamRowPrefix (vm: VmId): string {
  return `${encodeURIComponent(vm)}/`
}

/** Encodes streams as the value of a row. */
export function encodeStreamRow (streams: readonly PooledStream[], writtenAtMs: number): StreamRow {
  const groups = groupBy(streams, ({ pool, softwareVersion }) => JSON.stringify([pool, softwareVersion]))
  return {
    writtenAtMs,
    groups: [...groups.values()].map(same => ({
      pool: same[0].pool,
      softwareVersion: same[0].softwareVersion,
      keys: Buffer.from(same.map(({ key }) => key).join(''), 'hex').toString('base64')
    }))
  }
}

/** Whether a text is the key of a stream. */
export function isStreamKey (text: string): boolean {
  return STREAM_KEY.test(text)
}

/** Decodes a row; null if it cannot be read, which is logged. */
export function decodeStreamRow (row: Row, decisionLog: DecisionLog): { writtenAtMs: number, streams: PooledStream[] } | null {
  const result = streamRowSchema.safeParse(row.value)
  if (!result.success) {
    decisionLog.record({ type: 'rowUnreadable', table: STREAM_TABLE, key: row.key, reason: describeFirstIssue(result.error) })
    return null
  }
  const { writtenAtMs, groups } = result.data
  return { writtenAtMs, streams: groups.flatMap(({ keys, ...group }) => splitKeys(keys).map(key => ({ ...group, key }))) }
}

function splitKeys (keys: string): string[] {
  const bytes = Buffer.from(keys, 'base64')
  return Array.from({ length: bytes.length / KEY_BYTES }, (_, n) => bytes.toString('hex', n * KEY_BYTES, (n + 1) * KEY_BYTES))
}
