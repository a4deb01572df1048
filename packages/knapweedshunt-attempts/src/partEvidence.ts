import { z } from 'zod'

/** Limits of the evidence of one VM; with them a row stays within the size that the store accepts. */
export const MAX_PUBLISHED = { reports: 48, quarantines: 24, clearings: 24, parts: 12, ids: 16, crashes: 6 } as const

const text = z.string().min(1).max(255)
const ageMs = z.number().nonnegative()
const parts = z.array(text)
const share = z.number().min(0).max(1)

/** Schema of what a VM tells the others about parts of prompts that may crash endpoints. Ages and durations are in milliseconds at the time of writing. */
export const partEvidenceSchema = z.object({
  /** Crashes that this VM saw; `lostShares` has the parts that may be the cause and, for each, the share of recent attempts without it that this VM had lost. */
  reports: z.array(z.object({ id: text, endpoint: text, startedAgeMs: ageMs, crashedAgeMs: ageMs, lostShares: z.record(text, share) })),
  /** Quarantines that this VM knows, its own and others; `crashes` names those that it follows from. Earlier builds write none of `crashCount`, `lostShare` and `crashes`. */
  quarantines: z.array(z.object({ id: text, parts, crashCount: z.number().default(0), lostShare: share.default(0), crashes: z.array(z.object({ id: text, endpoint: text, startedAgeMs: ageMs })).default([]), firstCrashAgeMs: ageMs, forMs: ageMs })),
  /** Parts that this VM's requests were served with after the reports and quarantines of these ids. */
  clearings: z.array(z.object({ part: text, ids: z.array(text) }))
})

/** Output type of {@link partEvidenceSchema}. */
export type PartEvidence = z.output<typeof partEvidenceSchema>
