import type { ParsedRow, Row } from 'knapweedshunt-platform'
import { describeFirstIssue } from 'knapweedshunt-utils'
import { z } from 'zod'
import type { RolloutRow } from './rolloutState.ts'

const text = z.string().max(255)
const count = z.number().int().nonnegative()

const rolloutRowSchema = z.object({
  slots: z.array(z.object({ endpoint: text, incarnation: text, dataCentre: text, purpose: z.enum(['move', 'recover']) })),
  failures: z.object({ goalKey: z.string(), inRow: count }),
  dataCentres: z.array(z.object({ dataCentre: text, goalKey: z.string(), total: count, moved: count, inService: count })),
  completedKey: z.string(),
  revision: count
}) satisfies z.ZodType<RolloutRow>

/** Parses the row of a pool's loads. */
export function parseRolloutRow ({ value }: Row): ParsedRow<RolloutRow> {
  const result = rolloutRowSchema.safeParse(value)
  return result.success ? { type: 'row', value: result.data } : { type: 'unreadable', reason: describeFirstIssue(result.error) }
}
