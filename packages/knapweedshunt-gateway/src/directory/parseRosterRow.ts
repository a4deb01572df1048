import type { Row } from 'knapweedshunt-platform'
import type { WaveNotice } from 'knapweedshunt-fleet'
import { describeFirstIssue } from 'knapweedshunt-utils'
import type { z } from 'zod'
import { crashRowSchema, limitRowSchema, partRowSchema, poolVersionsRowSchema, ROSTER_KEY, vmRowSchema, waveRowSchema } from './rosterRows.ts'
import type { CrashRow, LimitRow, PartRow, PoolVersionsRow, VmRow } from './rosterRows.ts'

/** What a row of the roster holds. */
export type RosterRow =
  | { type: 'vm', value: VmRow }
  | { type: 'wave', value: WaveNotice }
  | { type: 'part', value: PartRow }
  | { type: 'versions', value: PoolVersionsRow }
  | { type: 'limit', value: LimitRow }
  | { type: 'crash', value: CrashRow }
  | { type: 'unreadable', reason: string }
  /** Its key has none of these prefixes. */
  | { type: 'other' }

/** Parses a row by the prefix of its key. */
export function parseRosterRow (row: Row): RosterRow {
  const { key } = row
  if (key.startsWith(ROSTER_KEY.vm)) return parseValue(row, vmRowSchema, ({ vm }) => ROSTER_KEY.vm + vm, value => ({ type: 'vm', value }))
  if (key.startsWith(ROSTER_KEY.wave)) return parseValue(row, waveRowSchema, ({ pool }) => ROSTER_KEY.wave + pool, value => ({ type: 'wave', value }))
  if (key.startsWith(ROSTER_KEY.part)) return parseValue(row, partRowSchema, null, value => ({ type: 'part', value }))
  if (key.startsWith(ROSTER_KEY.versions)) return parseValue(row, poolVersionsRowSchema, ({ pool }) => ROSTER_KEY.versions + pool, value => ({ type: 'versions', value }))
  if (key.startsWith(ROSTER_KEY.limit)) return parseValue(row, limitRowSchema, ({ vm }) => ROSTER_KEY.limit + vm, value => ({ type: 'limit', value }))
  if (key.startsWith(ROSTER_KEY.crash)) return parseValue(row, crashRowSchema, null, value => ({ type: 'crash', value }))
  return { type: 'other' }
}

/** `buildKey` returns the key that a row with the value has; null if the value does not say. */
function parseValue<T> ({ key, value }: Row, schema: z.ZodType<T>, buildKey: ((value: T) => string) | null, buildRow: (value: T) => RosterRow): RosterRow {
  const result = schema.safeParse(value)
  if (!result.success) return { type: 'unreadable', reason: describeFirstIssue(result.error) }
  if (buildKey !== null && key !== buildKey(result.data)) return { type: 'unreadable', reason: `belongs under the key ${buildKey(result.data)}` }
  return buildRow(result.data)
}
