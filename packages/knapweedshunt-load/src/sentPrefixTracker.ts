import type { PromptLevel } from './buildPrompt.ts'

/** Tracks which prompt levels were sent before, so that recomputed tokens can be told from new ones. */
export class SentPrefixTracker {
  readonly #sentLevels = new Set<string>()

  /** Marks the levels as sent and returns the number of leading words that were already sent before this call. */
  recordLevels (levels: PromptLevel[]): number {
    let reusableWords = 0
    let isPrefix = true
    for (const level of levels) {
      isPrefix &&= this.#sentLevels.has(level.name)
      if (isPrefix) reusableWords += level.wordCount
      this.#sentLevels.add(level.name)
    }
    return reusableWords
  }
}
