import { hashText } from 'knapweedshunt-utils'

/** Number of tokens in one cache block. */
export const BLOCK_TOKENS = 16

/** Splits text into the tokens of the fake engine: words, each with the whitespace before it. */
export function splitTokens (text: string): string[] {
  return text.match(/\s*\S+/g) ?? []
}

/** Computes the chained keys of all full blocks of the prompt; a partial block at the end has none. */
export function computeBlockKeys (salt: string, tokens: string[]): string[] {
  const keys: string[] = []
  let parent = salt
  for (let end = BLOCK_TOKENS; end <= tokens.length; end += BLOCK_TOKENS) {
    parent = hashText(parent, ...tokens.slice(end - BLOCK_TOKENS, end))
    keys.push(parent)
  }
  return keys
}
