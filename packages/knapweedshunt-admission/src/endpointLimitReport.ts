import { z } from 'zod'

const text = z.string().min(1).max(255)
/** Highest rate that is accepted, in requests per second; sums of rates remain finite. */
const MAX_RATE_PER_S = 1e15

const rate = z.number().nonnegative().max(MAX_RATE_PER_S)

/** A rate limit that an endpoint states, or no longer states, in requests per second for all VMs together. */
const limitStatementSchema = z.object({
  /** Incarnation of the endpoint. */
  endpoint: text,
  pool: text,
  requestsPerS: rate.nullable(),
  /** Number of the statement among those of one VM incarnation, so that it is applied once however often it is read. */
  n: z.number().int().nonnegative()
})

/** Output type of the schema of one statement. */
export type LimitStatement = z.output<typeof limitStatementSchema>

/** Schema of what a VM tells the others while endpoints state rate limits. */
export const endpointLimitReportSchema = z.object({
  /** Requests per second that callers send to this VM, by pool with limited endpoints. */
  demands: z.record(text, rate),
  /** Statements that this VM read in responses itself. */
  statements: z.array(limitStatementSchema)
})

/** Output type of {@link endpointLimitReportSchema}. */
export type EndpointLimitReport = z.output<typeof endpointLimitReportSchema>
