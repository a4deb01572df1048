import { BodyMalformedError } from './httpErrors.ts'

/** Parses JSON text. Throws BodyMalformedError that says where the text is wrong. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (cause) {
    throw new BodyMalformedError(`The body is not JSON (${(cause as Error).message}): send a JSON value.`, { cause })
  }
}
