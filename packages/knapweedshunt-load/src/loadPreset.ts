import type { PromptShape } from './buildPrompt.ts'

/** One kind of request in the mix. */
export type LoadJob =
  | { type: 'completion', name: string, share: number, model: string, maxTokens: number, shape: PromptShape }
  /** A non-repeatable call of a plain service. */
  | { type: 'order', name: string, share: number, path: string }

/** One organisation of the mix. */
export interface LoadOrganisation {
  name: string
  accessKey: string
  /** Share of the requests; shares need not add up to 1. */
  share: number
}

/** Mix of one deployment. */
export interface LoadPreset {
  name: string
  organisations: LoadOrganisation[]
  jobs: LoadJob[]
}
