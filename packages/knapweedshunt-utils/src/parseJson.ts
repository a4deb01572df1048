import { BodyMalformedError } from './httpErrors.ts'

/** Parses JSON text. Throws a BodyMalformedError with the parser's message. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (cause) {
    throw new BodyMalformedError(`The body is not JSON (${(cause as Error).message}): send a JSON value.`, { cause })
  }
}
