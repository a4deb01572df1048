import type { PromptLevel } from './buildPrompt.ts'

/** Which prompt levels were sent before, to tell recomputed tokens from new ones. */
export class PrefixLedger {
  readonly #seen = new Set<string>()

  /** Counts the leading words sent before; the levels count as sent from now on. */
  take (levels: PromptLevel[]): number {
    let reusable = 0
    let isPrefix = true
    for (const level of levels) {
      isPrefix &&= this.#seen.has(level.name)
      if (isPrefix) reusable += level.words
      this.#seen.add(level.name)
    }
    return reusable
  }
}
