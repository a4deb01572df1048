import type { PrefixLevel } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'

/** Values that must all be equal for two prompts to share cached blocks. */
export interface LevelSalt {
  organisation: string
  model: string
  adapter: string
  weightsVersion: string
}

/** Characters per token, for estimates. */
const CHARS_PER_TOKEN = 4

/** Maximum text length of one level, in characters; longer parts are split. */
const MAX_LEVEL_CHARS = 16_384

/** Splits a prompt given as parts (messages, or the text between the caller's marks) into levels with chained, salted keys. */
export function buildPrefixLevels (salt: LevelSalt, parts: string[]): PrefixLevel[] {
  const levels: PrefixLevel[] = []
  let parent = hashSalt(salt)
  let chars = 0
  for (const piece of parts.flatMap(splitLongPart)) {
    parent = hashText(parent, piece)
    chars += piece.length
    levels.push({ key: parent, tokens: Math.ceil(chars / CHARS_PER_TOKEN) })
  }
  return levels
}

/** Computes the salt that an engine mixes into its own cache keys. */
export function hashSalt (salt: LevelSalt): string {
  return hashText(salt.organisation, salt.model, salt.adapter, salt.weightsVersion)
}

function splitLongPart (part: string): string[] {
  const pieces: string[] = []
  for (let start = 0; start < part.length; start += MAX_LEVEL_CHARS) pieces.push(part.slice(start, start + MAX_LEVEL_CHARS))
  return pieces
}
