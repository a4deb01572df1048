import type { OrganisationName } from 'knapweedshunt-types'
import { z } from 'zod'
import type { CallerRequest } from '../callerRequest.ts'

/** Params of `router.runTicket`. */
export interface ForwardedOrder {
  request: CallerRequest
  /** Time left until the deadline, in milliseconds; monotonic clocks differ between VMs. */
  leftMs: number
}

/** Params of `router.readTicket`. */
export interface ForwardedStatus {
  organisation: OrganisationName
  ticket: string
}

const orderSchema = z.object({
  request: z.looseObject({
    requestId: z.string(),
    organisation: z.string(),
    pool: z.string(),
    digest: z.string(),
    orderTicket: z.string(),
    levels: z.array(z.unknown()),
    work: z.looseObject({ type: z.enum(['completion', 'service']) })
  }),
  leftMs: z.number()
})
const statusSchema = z.object({ organisation: z.string(), ticket: z.string() })

/** Builds the params. */
export function buildForwarded (request: CallerRequest): ForwardedOrder {
  return { request, leftMs: request.deadlineAtMs - performance.now() }
}

/** Checks params of a peer. Throws ZodError. */
export function parseForwardedOrder (params: unknown): CallerRequest {
  const { request, leftMs } = orderSchema.parse(params) as unknown as ForwardedOrder
  return { ...request, deadlineAtMs: performance.now() + leftMs }
}

/** Checks params of a peer. Throws ZodError. */
export function parseForwardedStatus (params: unknown): ForwardedStatus {
  return statusSchema.parse(params)
}
