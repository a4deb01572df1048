import type { EndpointName } from 'knapweedshunt-types'
import { z } from 'zod'

/** An endpoint crash during which the request was in flight. Ages are in milliseconds at the time of sending. */
export interface MarkedCrash {
  /** Ids that registries gave this crash; several if more than one VM observed it. Empty from a build without ids. */
  ids: string[]
  endpoint: EndpointName
  startedAgeMs: number
  crashedAgeMs: number
}

/** Message to peers about a suspect request, identified by the fingerprint of its organisation and digest. */
export type SuspectMark =
  | { type: 'crashed', fingerprint: string, crashes: MarkedCrash[] }
  /** `crashes` names the latest crashes that it follows from, so that it ends when they no longer count; `crashCount`, `firstCrashAgeMs` and `endpoints` describe them. Earlier builds write none of these, or not `crashes`. */
  | { type: 'quarantined', fingerprint: string, forMs: number, crashCount?: number, firstCrashAgeMs?: number, endpoints?: EndpointName[], crashes?: MarkedCrash[] }
  /** The request succeeded, so these crashes no longer count; others do, whichever mark arrives first. */
  | { type: 'cleared', fingerprint: string, crashIds: string[] }

/** Mark that clears crashes. */
export type ClearedMark = Extract<SuspectMark, { type: 'cleared' }>

/** Maximum number of crashes in one mark. */
const MAX_CRASHES = 256

/** Maximum number of crashes that a VM writes in one mark; the row of a VM holds many marks. */
export const MAX_MARK_CRASHES = 3

/** Maximum number of crashes that a VM clears in one mark. */
export const MAX_MARK_CLEARED_IDS = 64

/** Maximum number of endpoints in the mark of a quarantine. */
export const MAX_MARK_ENDPOINTS = 16

/** Maximum number of ids in one list. */
const MAX_IDS = 1_024

const text = z.string().min(1).max(255)
const amount = z.number().nonnegative()
const ids = z.array(text).max(MAX_IDS).default([])
const crash = z.object({ ids, endpoint: text, startedAgeMs: amount, crashedAgeMs: amount })

/** Schema of a mark as it arrives from a peer or the store. */
export const suspectMarkSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('crashed'), fingerprint: text, crashes: z.array(crash).max(MAX_CRASHES) }),
  z.object({ type: z.literal('quarantined'), fingerprint: text, forMs: amount, crashCount: amount.optional(), firstCrashAgeMs: amount.optional(), endpoints: z.array(text).max(MAX_MARK_ENDPOINTS).optional(), crashes: z.array(crash).max(MAX_CRASHES).optional() }),
  z.object({ type: z.literal('cleared'), fingerprint: text, crashIds: ids })
]) satisfies z.ZodType<SuspectMark>
