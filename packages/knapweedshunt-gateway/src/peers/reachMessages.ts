import type { ReachReport } from 'knapweedshunt-membership'
import { z } from 'zod'

/** Maximum number of pools in a report. */
const MAX_POOLS = 1_000

/** Result of `endpoints.reach`. */
export const reachReportSchema = z.object({
  pools: z.array(z.object({ pool: z.string(), reached: z.number().int().min(0), known: z.number().int().min(0) })).max(MAX_POOLS),
  relayedCount: z.number().int().min(0)
}) satisfies z.ZodType<ReachReport>
