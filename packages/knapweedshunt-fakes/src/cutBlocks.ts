import { hashText } from 'knapweedshunt-utils'

/** Tokens in one cached block. */
export const BLOCK_TOKENS = 16

/** Cuts text into the engine's tokens: words with the space before them. */
export function cutTokens (text: string): string[] {
  return text.match(/\s*\S+/g) ?? []
}

/** Chained keys of all whole blocks of the prompt. */
export function cutBlocks (salt: string, tokens: string[]): string[] {
  const keys: string[] = []
  let parent = salt
  for (let end = BLOCK_TOKENS; end <= tokens.length; end += BLOCK_TOKENS) {
    parent = hashText(parent, ...tokens.slice(end - BLOCK_TOKENS, end))
    keys.push(parent)
  }
  return keys
}
