import { buildArraySchema } from 'knapweedshunt-platform'
import { z } from 'zod'

/** Maximum number of organisations in one message. */
export const MAX_MESSAGE_ORGANISATIONS = 500

/** Maximum number of requests of one organisation in one message. */
export const MAX_MESSAGE_REQUESTS = 500

/** Maximum time for which a VM lends its share, in milliseconds. */
const MAX_LENT_MS = 60_000

const text = z.string().min(1).max(255)
const units = z.number().nonnegative().finite()
const vmCount = z.number().int().positive()

/** Params of `usage.exchange`: the units that a VM hands over, those that its waiting requests need, and those of requests that it has refused by itself since the last call. */
export const exchangeParamsSchema = z.object({ vm: text, organisations: z.array(z.object({ organisation: text, handedOver: units, refused: units, amounts: z.array(units).max(MAX_MESSAGE_REQUESTS) })).max(MAX_MESSAGE_ORGANISATIONS) })

/** Result of `usage.exchange`: for each request in the order asked the time to wait, in milliseconds, or 0 if it is admitted. */
export const exchangeResultSchema = z.object({ hasMajority: z.boolean(), vmCount, organisations: buildArraySchema(z.object({ organisation: text, waitsMs: buildArraySchema(z.number().nonnegative().finite()) })) })

/** Params of `usage.collect`: the organisations in use. */
export const collectParamsSchema = z.object({ hasMajority: z.boolean(), vmCount, organisations: z.array(text).max(MAX_MESSAGE_ORGANISATIONS) })

/** Result of `usage.collect`: the units that the VM hands over and for how much longer it lends its share, in milliseconds, in the order asked. `incarnation` changes with each start of the VM. */
export const collectResultSchema = z.object({ incarnation: text, shares: buildArraySchema(z.object({ units, lentMs: z.number().nonnegative().max(MAX_LENT_MS) })) })

/** Output type of {@link exchangeParamsSchema}. */
export type ExchangeParams = z.output<typeof exchangeParamsSchema>

/** Output type of {@link exchangeResultSchema}. */
export type ExchangeResult = z.output<typeof exchangeResultSchema>

/** Output type of {@link collectParamsSchema}. */
export type CollectParams = z.output<typeof collectParamsSchema>

/** Output type of {@link collectResultSchema}. */
export type CollectResult = z.output<typeof collectResultSchema>
