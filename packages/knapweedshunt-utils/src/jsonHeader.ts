import { parseJson } from './parseJson.ts'

/** Encodes a value for an HTTP header, which holds Latin-1 characters only. */
export function encodeJsonHeader (value: unknown): string {
  return encodeURIComponent(JSON.stringify(value))
}

/** Decodes a header made by {@link encodeJsonHeader}; null if it is missing or malformed. */
export function decodeJsonHeader (value: string | string[] | undefined): unknown {
  try {
    return parseJson(decodeURIComponent(String(value)))
  } catch {
    return null // Callers reject it by their schema.
  }
}
