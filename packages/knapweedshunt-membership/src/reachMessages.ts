import { z } from 'zod'
import type { ReachReport } from './reachReport.ts'

/** Maximum number of pools in a report. */
const MAX_POOLS = 1_000

/** Result of `endpoints.reach`. */
export const reachReportSchema = z.object({
  pools: z.array(z.object({ pool: z.string(), reached: z.number().int().min(0), known: z.number().int().min(0) })).max(MAX_POOLS),
  relayedCount: z.number().int().min(0)
}) satisfies z.ZodType<ReachReport>
