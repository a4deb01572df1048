import type { PromptPart } from '../ports/callerCall.ts'
import type { KeptNews } from '../ports/managementPort.ts'

/** Most parts remembered; the one that was longest without news goes first. */
const MAX_PARTS = 32_768

/** Share of a part's tokens from which on it counts as held: stores count whole blocks. */
const HELD_SHARE = 0.9

/** What a store of kept prefixes is known to hold, by its own news. What is not known to be held may be held all the same. */
export class KeptContents {
  readonly #tokens = new Map<string, number>()
  #incarnation: string | null = null
  #position: number | null = null

  /** Position up to which news was taken; null before the first. */
  get position (): number | null {
    return this.#position
  }

  /** Takes news; after a restart of the store, or a gap, nothing of before is known. */
  take ({ incarnation, position, hasGap, changes }: KeptNews): void {
    if (hasGap || incarnation !== this.#incarnation) this.#tokens.clear()
    this.#incarnation = incarnation
    this.#position = position
    for (const { salt, part, tokens } of changes) {
      const name = namePart(salt, part)
      this.#tokens.delete(name)
      if (tokens > 0) this.#tokens.set(name, tokens)
    }
    for (const oldest of this.#tokens.keys()) {
      if (this.#tokens.size <= MAX_PARTS) return
      this.#tokens.delete(oldest)
    }
  }

  /** Forgets all, as news may have been missed. */
  clear (): void {
    this.#tokens.clear()
    this.#position = null
  }

  /** Whether all parts are known to be held under a salt. */
  holds (salt: string, parts: readonly PromptPart[]): boolean {
    return parts.every(({ id, tokens }) => (this.#tokens.get(namePart(salt, id)) ?? 0) >= tokens * HELD_SHARE)
  }
}

function namePart (salt: string, part: string): string {
  return `${salt}/${part}`
}
