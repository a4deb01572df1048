import type { LedgerHandover, TicketQuery } from 'knapweedshunt-orders'
import { z } from 'zod'

const orderSchema = z.object({ organisation: z.string(), key: z.string(), digest: z.string() })
const answerSchema = z.object({ status: z.number().int(), contentType: z.string(), body: z.string() })
const outcomeSchema = z.object({ ran: z.enum(['ran', 'not-run', 'may-have-run']), answer: answerSchema.nullable() })
const handoverSchema = z.object({
  book: z.object({ minter: z.string(), used: z.object({ first: z.number().int(), bits: z.base64() }), closedAtMs: z.number() }),
  outcomes: z.array(z.object({ order: orderSchema, nonce: z.string(), outcome: outcomeSchema })),
  abandoned: z.array(z.object({ order: orderSchema, nonce: z.string() }))
})
const querySchema = z.object({
  minter: z.string(),
  serial: z.number().int(),
  order: z.object({ organisation: z.string(), key: z.string() }),
  digest: z.string().nullable()
})

/** Validates the params of `router.takeBook`: the closed ledger, unwritten outcomes and abandoned claims of a router that is shutting down. Throws ZodError. */
export function parseHandover (params: unknown): LedgerHandover {
  return handoverSchema.parse(params)
}

/** Validates the params of `router.findTicket`. Throws ZodError. */
export function parseTicketQuery (params: unknown): TicketQuery {
  return querySchema.parse(params)
}
