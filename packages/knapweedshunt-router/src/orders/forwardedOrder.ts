import type { OrganisationName } from 'knapweedshunt-types'
import { z } from 'zod'
import type { CallerRequest } from '../callerRequest.ts'

/** Params of `router.runTicket`: an order with a pinned ticket, forwarded to the router that minted it. */
export interface ForwardedOrder {
  request: CallerRequest
  /** Time until the deadline, in milliseconds. Sent as a duration because monotonic clocks differ between VMs. */
  leftMs: number
}

/** Params of `router.readTicket`, which reads the status of an order on the ticket's minter. */
export interface ForwardedStatusQuery {
  organisation: OrganisationName
  ticket: string
}

const forwardedOrderSchema = z.object({
  request: z.looseObject({
    requestId: z.string(),
    organisation: z.string(),
    pool: z.string(),
    digest: z.string(),
    relayHeaders: z.null().default(null),
    orderTicket: z.string(),
    levels: z.array(z.unknown()),
    work: z.looseObject({ type: z.enum(['completion', 'service']) })
  }),
  leftMs: z.number()
})
const statusQuerySchema = z.object({ organisation: z.string(), ticket: z.string() })

/** Builds the params of `router.runTicket` from the request and the time left until its deadline. */
export function buildForwardedOrder (request: CallerRequest): ForwardedOrder {
  return { request: { ...request, relayHeaders: null }, leftMs: request.deadlineAtMs - performance.now() }
}

/** Validates the params of `router.runTicket` and sets the deadline on the local monotonic clock. Throws ZodError. */
export function parseForwardedOrder (params: unknown): CallerRequest {
  const { request, leftMs } = forwardedOrderSchema.parse(params) as unknown as ForwardedOrder
  return { ...request, deadlineAtMs: performance.now() + leftMs }
}

/** Validates the params of `router.readTicket`. Throws ZodError. */
export function parseForwardedStatusQuery (params: unknown): ForwardedStatusQuery {
  return statusQuerySchema.parse(params)
}
