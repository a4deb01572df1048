import { z } from 'zod'
import type { ReachReport } from './reachReport.ts'

/** Maximum number of pools in a report. */
const MAX_POOLS = 1_000

/** Maximum number of endpoints that a VM asks about. */
export const MAX_LOST_ENDPOINTS = 64

const count = z.number().int().min(0)

/** Result of `endpoints.reach`. */
export const reachReportSchema = z.object({
  pools: z.array(z.object({ pool: z.string(), reached: count, known: count, lost: z.object({ answered: count, unheard: count }).optional() })).max(MAX_POOLS),
  relayedCount: count
}) satisfies z.ZodType<ReachReport>

/** Params of `endpoints.reach`; VMs of earlier builds send none. */
export const reachParamsSchema = z.object({
  lost: z.array(z.object({ pool: z.string(), endpoint: z.string(), incarnation: z.string(), lostMs: z.number().min(0) })).max(MAX_LOST_ENDPOINTS).default([])
})
