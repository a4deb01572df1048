import type { NestedPrompt } from './buildPrompt.ts'
import type { LoadJob, LoadOrganisation } from './loadPreset.ts'

/** One call of a load plan. */
export interface PlannedCall {
  /** Send time, in milliseconds after the start of the run. */
  atMs: number
  organisation: LoadOrganisation
  job: LoadJob
  /** Null for orders. */
  prompt: NestedPrompt | null
  /** Idempotency key; only orders use it. */
  key: string
}
