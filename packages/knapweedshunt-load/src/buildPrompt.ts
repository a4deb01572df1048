import { createRng, hashText } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'

const RADIX = 36
const VOCABULARY_SIZE = RADIX ** 4
const SEED_HEX_DIGITS = 7

/** Shape of nested prompts: a shared manual, one of its `sections`, then a unique case. Sizes are in words. */
export interface PromptShape {
  manuals: number
  sections: number
  manualWords: number
  sectionWords: number
  caseWords: number
  /** Greater values favour the first manuals and sections; 0 draws uniformly. */
  skew: number
}

/** A prompt and the prefix levels that it shares with other prompts. */
export interface NestedPrompt {
  text: string
  /** Character offsets at which the outer levels end. */
  marks: number[]
  /** Name of each shared level, outermost first; equal names have equal text. */
  levels: PromptLevel[]
}

/** One prefix level that prompts share. */
export interface PromptLevel {
  name: string
  wordCount: number
}

/** Draws a manual and one of its sections, and appends a case of a random name. Only prompts of the same organisation share levels. */
export function buildPrompt (shape: PromptShape, organisation: string, rng: Rng): NestedPrompt {
  const manual = `${organisation}.${shape.manualWords}.${drawSkewed(shape.manuals, shape.skew, rng)}`
  const section = `${manual}.${shape.sectionWords}.${drawSkewed(shape.sections, shape.skew, rng)}`
  const outer = generateWords(manual, shape.manualWords)
  const middle = generateWords(section, shape.sectionWords)
  const inner = generateWords(`case-${rng.drawInt(2 ** 30)}`, shape.caseWords)
  return {
    text: outer + middle + inner,
    marks: [outer.length, outer.length + middle.length],
    levels: [{ name: manual, wordCount: shape.manualWords }, { name: section, wordCount: shape.sectionWords }]
  }
}

function drawSkewed (count: number, skew: number, rng: Rng): number {
  return Math.min(count - 1, Math.floor(count * rng.drawFloat() ** (1 + skew)))
}

/** Generates pseudo-words about as long as English words, each followed by a space; equal names give equal words. */
function generateWords (name: string, wordCount: number): string {
  const rng = createRng(parseInt(hashText(name).slice(0, SEED_HEX_DIGITS), 16))
  return Array.from({ length: wordCount }, () => `${rng.drawInt(VOCABULARY_SIZE).toString(RADIX)} `).join('')
}
