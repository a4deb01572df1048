/** What a value takes once it is parsed, for each mark of its text, in bytes: an object without fields takes 56, and its place in a list 8. */
const MARK_BYTES = 64

const MARKS = new Set([...'[]{},:'].map(mark => mark.charCodeAt(0)))
const QUOTE = 34
const BACKSLASH = 92

/** Estimates what JSON takes while it is parsed, in bytes: small values take many times their text. */
export function estimateParsedBytes (text: string): number {
  let markCount = 0
  let isString = false
  for (let offset = 0; offset < text.length; offset++) {
    const code = text.charCodeAt(offset)
    if (code === QUOTE) isString = !isString
    else if (isString) offset += code === BACKSLASH ? 1 : 0
    else if (MARKS.has(code)) markCount++
  }
  return text.length + markCount * MARK_BYTES
}
