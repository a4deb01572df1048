import type { Rng } from 'knapweedshunt-utils'

/** Shape of nested prompts: `sections` per manual, `cases` per section, with skewed use. */
export interface PromptShape {
  manuals: number
  sections: number
  manualWords: number
  sectionWords: number
  caseWords: number
  /** Greater values make the first manuals and sections hotter, 0 is uniform. */
  skew: number
}

/** A prompt with the character offsets of its levels. */
export interface NestedPrompt {
  text: string
  marks: number[]
}

/** Draws a prompt: a manual, one of its sections, a case of its own. */
export function buildPrompt (shape: PromptShape, organisation: string, rng: Rng): NestedPrompt {
  const manual = drawSkewed(shape.manuals, shape.skew, rng)
  const section = drawSkewed(shape.sections, shape.skew, rng)
  const outer = repeatWords(`${organisation}-m${manual}`, shape.manualWords)
  const middle = repeatWords(`s${manual}.${section}`, shape.sectionWords)
  const inner = repeatWords(`c${rng.int(2 ** 30)}`, shape.caseWords)
  return { text: outer + middle + inner, marks: [outer.length, outer.length + middle.length] }
}

function drawSkewed (count: number, skew: number, rng: Rng): number {
  return Math.min(count - 1, Math.floor(count * rng.float() ** (1 + skew)))
}

function repeatWords (stem: string, words: number): string {
  return Array.from({ length: words }, (_, i) => `${stem}w${i} `).join('')
}
