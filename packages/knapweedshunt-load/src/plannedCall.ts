import type { NestedPrompt } from './buildPrompt.ts'
import type { LoadJob, LoadOrganisation } from './loadPreset.ts'

/** One call of a plan. */
export interface PlannedCall {
  /** When to make it, milliseconds after the start. */
  atMs: number
  organisation: LoadOrganisation
  job: LoadJob
  /** Null for orders. */
  prompt: NestedPrompt | null
  /** Idempotency key; used by orders. */
  key: string
}
