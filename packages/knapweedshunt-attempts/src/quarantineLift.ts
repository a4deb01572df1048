import { z } from 'zod'

/** Minimum length of the beginning of a fingerprint that names a request: as much of it as the log shows. */
const MIN_FINGERPRINT_CHARS = 12

/** Maximum length of texts in a lift; with it the key of its row stays within the size that the store accepts. */
const MAX_CHARS = 128

const text = z.string().trim().min(1, 'must not be empty').max(MAX_CHARS)

/** Schema of what a quarantine refuses: requests, by the beginning of their fingerprint, or prompts with a part. */
export const quarantineTargetSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('request'), fingerprint: z.string().regex(/^[0-9a-f]+$/, 'is not hexadecimal').min(MIN_FINGERPRINT_CHARS).max(MAX_CHARS) }),
  z.object({ type: z.literal('part'), part: text.toLowerCase() })
])

/** Output type of {@link quarantineTargetSchema}. */
export type QuarantineTarget = z.output<typeof quarantineTargetSchema>

/** Schema of an operator's order to end a quarantine at all VMs; crashes before it no longer count. */
export const quarantineLiftSchema = z.object({
  /** Unique among all lifts. */
  id: text,
  target: quarantineTargetSchema,
  /** Who lifted it. */
  by: text,
  reason: z.string().trim().min(1, 'must not be empty').max(1_000),
  /** Wall-clock time in Unix milliseconds. */
  atMs: z.number().nonnegative()
})

/** Output type of {@link quarantineLiftSchema}. */
export type QuarantineLift = z.output<typeof quarantineLiftSchema>
