import { createRng, hashText } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'

const RADIX = 36
const WORDS = RADIX ** 4
const SEED_HEX_DIGITS = 7

/** Shape of nested prompts: `sections` per manual, cases of their own, with skewed use. */
export interface PromptShape {
  manuals: number
  sections: number
  manualWords: number
  sectionWords: number
  caseWords: number
  /** Greater values make the first manuals and sections hotter, 0 is uniform. */
  skew: number
}

/** A prompt with its nested levels. */
export interface NestedPrompt {
  text: string
  /** Character offsets at which the outer levels end. */
  marks: number[]
  /** Name of each shared level, outermost first; equal names have equal text. */
  levels: PromptLevel[]
}

/** One shared level. */
export interface PromptLevel {
  name: string
  words: number
}

/** Draws a prompt: a manual, one of its sections, a case of its own. */
export function buildPrompt (shape: PromptShape, organisation: string, rng: Rng): NestedPrompt {
  const manual = `${organisation}.${shape.manualWords}.${drawSkewed(shape.manuals, shape.skew, rng)}`
  const section = `${manual}.${shape.sectionWords}.${drawSkewed(shape.sections, shape.skew, rng)}`
  const outer = drawWords(manual, shape.manualWords)
  const middle = drawWords(section, shape.sectionWords)
  const inner = drawWords(`case-${rng.int(2 ** 30)}`, shape.caseWords)
  return {
    text: outer + middle + inner,
    marks: [outer.length, outer.length + middle.length],
    levels: [{ name: manual, words: shape.manualWords }, { name: section, words: shape.sectionWords }]
  }
}

function drawSkewed (count: number, skew: number, rng: Rng): number {
  return Math.min(count - 1, Math.floor(count * rng.float() ** (1 + skew)))
}

/** Words of about the length of English ones, always the same for a name. */
function drawWords (name: string, words: number): string {
  const rng = createRng(parseInt(hashText(name).slice(0, SEED_HEX_DIGITS), 16))
  return Array.from({ length: words }, () => `${rng.int(WORDS).toString(RADIX)} `).join('')
}
