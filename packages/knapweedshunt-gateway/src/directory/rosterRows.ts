import { endpointLimitReportSchema } from 'knapweedshunt-admission'
import type { EndpointLimitReport } from 'knapweedshunt-admission'
import { partEvidenceSchema, suspectMarkSchema } from 'knapweedshunt-attempts'
import type { PartEvidence, QuarantineTarget } from 'knapweedshunt-attempts'
import type { WaveNotice } from 'knapweedshunt-fleet'
import type { Incarnation, VmId } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'
import { z } from 'zod'

/** Name of the roster table, which all VMs share. */
export const ROSTER_TABLE = 'knapweedshunt'

/** Prefixes of the keys of the roster table, by what the row holds. */
export const ROSTER_KEY = { vm: 'vm/', wave: 'wave/', crash: 'crash/', part: 'part/', limit: 'limit/', lift: 'lift/', versions: 'versions/' } as const

/** Longest names and texts, in characters. */
const MAX_TEXT_LENGTH = 255

const text = z.string().min(1).max(MAX_TEXT_LENGTH)
const count = z.number().int().nonnegative()
const peerUrl = z.url({ protocol: /^http$/, error: 'is no URL that begins with http://' }).max(MAX_TEXT_LENGTH)

/** Keys are sent as header values. */
const peerKey = z.string().regex(/^[\x21-\x7e]+$/, 'is not printable ASCII without spaces').max(MAX_TEXT_LENGTH)

/** Row of one VM; earlier builds serve no calls of other VMs, or hand no tables on. */
export const vmRowSchema = z.object({ vm: text, incarnation: text, dataCentre: z.string().max(MAX_TEXT_LENGTH), peer: z.object({ url: peerUrl, key: peerKey }).nullish(), servesTables: z.boolean().optional() })

/** Output type of {@link vmRowSchema}. */
export type VmRow = z.output<typeof vmRowSchema>

/** A mark with its sequence number among those of one VM incarnation, so that it is applied once however often the row is read; `atMs` is wall-clock time in Unix milliseconds. */
const numberedMarkSchema = z.object({ n: count, atMs: count, mark: suspectMarkSchema })

/** Output type of the schema of a numbered mark. */
export type NumberedMark = z.output<typeof numberedMarkSchema>

/** Row of one VM's marks. */
export const crashRowSchema = z.object({ incarnation: text, marks: z.array(numberedMarkSchema) })

/** Output type of {@link crashRowSchema}. */
export type CrashRow = z.output<typeof crashRowSchema>

/** Row of what one VM knows about prompt parts that may crash endpoints; a row of its own, since earlier builds reject a crash row with marks that they do not know. `atMs` is wall-clock time in Unix milliseconds. */
export const partRowSchema = z.object({ incarnation: text, atMs: count, evidence: partEvidenceSchema })

/** Output type of {@link partRowSchema}. */
export type PartRow = z.output<typeof partRowSchema>

/** Part evidence as read from a row. */
export interface ReceivedPartEvidence {
  evidence: PartEvidence
  /** Incarnation of the VM that wrote it. */
  from: string
  /** Time since it was written, by the wall clocks of both VMs, in milliseconds. */
  ageMs: number
  /** Whether an earlier incarnation of this VM wrote it. */
  isOwn: boolean
}

/** Row of one VM about the rate limits that endpoints state. */
export const limitRowSchema = z.object({ vm: text, incarnation: text, report: endpointLimitReportSchema })

/** Output type of {@link limitRowSchema}. */
export type LimitRow = z.output<typeof limitRowSchema>

/** Report about rate limits as read from a row. */
export interface ReceivedLimitReport {
  vm: VmId
  /** Incarnation of the VM that wrote it. */
  from: Incarnation
  report: EndpointLimitReport
}

/** Row of the software versions that the endpoints of a pool have; `changedAtMs` is the wall-clock time in Unix milliseconds since which they have them, and `observedSinceMs` the one since which VMs have observed the pool; earlier builds do not write it. */
export const poolVersionsRowSchema = z.object({ pool: text, softwareVersions: z.array(z.string().max(MAX_TEXT_LENGTH)), changedAtMs: count, observedSinceMs: count.optional() })

/** Output type of {@link poolVersionsRowSchema}. */
export type PoolVersionsRow = z.output<typeof poolVersionsRowSchema>

/** Returns the key of the row that lifts a quarantine; a hash, since a part's id may be too long for a key. */
export function formatLiftKey (target: QuarantineTarget): string {
  return `${ROSTER_KEY.lift}${target.type}/${hashText(target.type === 'request' ? target.fingerprint : target.part)}`
}

/** Row of a pool's last wave. */
export const waveRowSchema = z.object({
  vm: text,
  pool: text,
  model: text,
  version: count,
  loading: z.array(text),
  reached: z.array(text),
  endedFencing: count.nullable(),
  isLeaving: z.boolean(),
  versionAgeMs: z.number().nonnegative().optional()
}) satisfies z.ZodType<WaveNotice>
