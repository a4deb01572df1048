import { z } from 'zod'
import { buildArraySchema } from './buildArraySchema.ts'

/** Maximum number of tables in one message. */
const MAX_TABLES = 10

const text = z.string().min(1).max(255)
const version = z.number().int().nonnegative()
const era = z.number().int().nullable()

/** Params of `tables.changes`: where the caller's tables stand, and how long the answer may be held while nothing changes, in milliseconds. */
export const sharedPollParamsSchema = z.object({ tables: z.array(z.object({ table: text, afterVersion: version, era })).max(MAX_TABLES), waitMs: z.number().nonnegative() })

/** Position of one table in a poll. */
export type SharedTablePosition = z.output<typeof sharedPollParamsSchema>['tables'][number]

/** A deleted row, or one whose value cannot be read, has none. */
const changedRow = z.object({ key: z.string(), version, value: z.unknown().optional(), isDeleted: z.boolean() })

const tableAnswer = z.discriminatedUnion('type', [
  /** `ageMs` is the time since the store confirmed the table. */
  z.object({ type: z.literal('changes'), table: text, rows: buildArraySchema(changedRow), version, era, ageMs: z.number().nonnegative() }),
  /** The answering VM cannot say what changed; `mustLeave` if it is not to be asked again soon. */
  z.object({ type: z.literal('unavailable'), table: text, reason: z.string().max(255), mustLeave: z.boolean() })
])

/** Answer about one table. */
export type SharedTableAnswer = z.output<typeof tableAnswer>

/** Result of `tables.changes`. `heldMs` is the time for which the poll was held; earlier builds do not state it. */
export const sharedPollResultSchema = z.object({ tables: buildArraySchema(tableAnswer), heldMs: z.number().nonnegative().optional() })

/** Output type of {@link sharedPollResultSchema}. */
export type SharedPollResult = z.output<typeof sharedPollResultSchema>
