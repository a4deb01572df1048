import type { PromptPart } from '../ports/callerCall.ts'
import type { KvStoreChanges } from '../ports/managementPort.ts'

/** Maximum number of parts held; the least recently changed ones are evicted first. */
const MAX_PARTS = 32_768

/** Fraction of a part's tokens from which on the part counts as stored: KV stores count whole blocks only. */
const MIN_STORED_SHARE = 0.9

/** Index of the prompt parts that a KV store holds, built from the store's change feed. A part that is not in the index may still be stored. */
export class StoredPrefixIndex {
  readonly #storedTokens = new Map<string, number>()
  #incarnation: string | null = null
  #position: number | null = null

  /** Position in the change feed up to which changes were applied; null before the first. */
  get position (): number | null {
    return this.#position
  }

  /** Applies changes; after a restart of the store or a gap in the feed, everything known before is dropped. */
  applyChanges ({ incarnation, position, hasGap, changes }: KvStoreChanges): void {
    if (hasGap || incarnation !== this.#incarnation) this.#storedTokens.clear()
    this.#incarnation = incarnation
    this.#position = position
    for (const { salt, part, tokens } of changes) {
      const key = buildPartKey(salt, part)
      this.#storedTokens.delete(key)
      if (tokens > 0) this.#storedTokens.set(key, tokens)
    }
    for (const oldest of this.#storedTokens.keys()) {
      if (this.#storedTokens.size <= MAX_PARTS) return
      this.#storedTokens.delete(oldest)
    }
  }

  /** Drops the index and the position, as changes may have been missed. */
  clear (): void {
    this.#storedTokens.clear()
    this.#position = null
  }

  /** Whether all parts are known to be stored under a salt. */
  hasAllParts (salt: string, parts: readonly PromptPart[]): boolean {
    return parts.every(({ id, tokens }) => (this.#storedTokens.get(buildPartKey(salt, id)) ?? 0) >= tokens * MIN_STORED_SHARE)
  }
}

function buildPartKey (salt: string, part: string): string {
  return `${salt}/${part}`
}
