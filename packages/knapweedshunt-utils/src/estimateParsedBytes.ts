/** What a value takes once it is parsed, for each mark of its text, in bytes: an object without fields takes 56, and its place in a list 8. */
const MARK_BYTES = 64

const BACKSLASH = 92

/** Estimates what JSON takes while it is parsed, in bytes: small values take many times their text. */
export function estimateParsedBytes (text: string): number {
  let markCount = 0
  for (let offset = 0; offset < text.length; offset++) {
    switch (text.charCodeAt(offset)) {
      case 34: // "
        offset = findStringEnd(text, offset + 1)
        break
      case 44: // ,
      case 58: // :
      case 91: // [
      case 93: // ]
      case 123: // {
      case 125: // }
        markCount++
    }
  }
  return text.length + markCount * MARK_BYTES
}

/** Finds the quote that ends a string; the length of the text if none does. */
function findStringEnd (text: string, start: number): number {
  for (let end = text.indexOf('"', start); end !== -1; end = text.indexOf('"', end + 1)) {
    let backslashes = 0
    while (end - backslashes > start && text.charCodeAt(end - backslashes - 1) === BACKSLASH) backslashes++
    if (backslashes % 2 === 0) return end
  }
  return text.length
}
