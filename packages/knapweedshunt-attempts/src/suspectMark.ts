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
  /** `crashCount`, `firstCrashAgeMs` and `endpoints` tell which crashes it follows from; earlier builds write none of them. */
  | { type: 'quarantined', fingerprint: string, forMs: number, crashCount?: number, firstCrashAgeMs?: number, endpoints?: EndpointName[] }
  /** The suspect request succeeded, so these crashes no longer count; others do, whichever mark arrives first. */
  | { type: 'cleared', fingerprint: string, crashIds: string[] }

/** Maximum number of crashes in one mark. */
const MAX_CRASHES = 256

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
  z.object({ type: z.literal('quarantined'), fingerprint: text, forMs: amount, crashCount: amount.optional(), firstCrashAgeMs: amount.optional(), endpoints: z.array(text).max(MAX_MARK_ENDPOINTS).optional() }),
  z.object({ type: z.literal('cleared'), fingerprint: text, crashIds: ids })
]) satisfies z.ZodType<SuspectMark>
