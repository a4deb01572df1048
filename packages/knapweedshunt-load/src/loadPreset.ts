import type { PromptShape } from './buildPrompt.ts'

/** One kind of request in a traffic mix. Shares are relative and need not add up to 1. */
export type LoadJob =
  | { type: 'completion', name: string, share: number, model: string, maxTokens: number, shape: PromptShape }
  /** An order: a call of a plain service that must run at most once. */
  | { type: 'order', name: string, share: number, path: string }

/** One organisation of a traffic mix. */
export interface LoadOrganisation {
  name: string
  accessKey: string
  /** Relative share of the requests; shares need not add up to 1. */
  share: number
}

/** Traffic mix of one deployment. */
export interface LoadPreset {
  name: string
  organisations: LoadOrganisation[]
  jobs: LoadJob[]
}
