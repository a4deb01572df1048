import { endpointLimitReportSchema } from 'knapweedshunt-admission'
import { partEvidenceSchema, suspectMarkSchema } from 'knapweedshunt-attempts'
import { z } from 'zod'

/** Most organisations in one demand message. */
export const MAX_DEMANDS = 8

/** Most hot prefix keys in one demand message. */
export const MAX_HOT_KEYS = 16

/** Most marks in one message, and most unacknowledged marks per peer. */
export const MAX_MARKS = 256

const text = z.string().min(1).max(255)
const amount = z.number().nonnegative()
const demand = z.object({ organisation: text, requestsPerSecond: amount, concurrent: amount })

/** Params and result of `router.demand`: a VM's demand per organisation with limits and, for its own data centre, per hot prefix key. */
export const demandMessageSchema = z.object({
  vm: text,
  incarnation: text,
  dataCentre: text,
  /** Sequence number of the message, increasing within an incarnation. */
  n: z.number().int().nonnegative(),
  demands: z.array(demand).max(MAX_DEMANDS),
  hotKeys: z.array(z.object({ key: text, tokensPerS: amount })).max(MAX_HOT_KEYS)
})

/** Output type of {@link demandMessageSchema}. */
export type DemandMessage = z.output<typeof demandMessageSchema>

/** Params of `router.marks`: marks of requests that were in flight during an endpoint crash, are quarantined, or are cleared. */
export const marksMessageSchema = z.object({ vm: text, marks: z.array(suspectMarkSchema).max(MAX_MARKS) })

/** Params of `router.parts`: what a VM knows of prompt parts that may crash endpoints. */
export const partsMessageSchema = z.object({ vm: text, evidence: partEvidenceSchema })

const MAX_VERSIONS = 64

/** Params of `router.versions`. */
export const versionsQuerySchema = z.object({ pool: text })

/** Result of `router.versions`: software versions that may have begun streams of the pool; with an empty one if some endpoints state none. */
export const versionsResultSchema = z.object({ versions: z.array(z.string().max(255)).max(MAX_VERSIONS) })

/** Params of `router.limits`: what a VM knows of the rate limits of endpoints, and its demand while limits are in force. */
export const limitsMessageSchema = z.object({ vm: text, incarnation: text, report: endpointLimitReportSchema })
