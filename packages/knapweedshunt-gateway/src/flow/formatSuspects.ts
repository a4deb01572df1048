/** Number of characters of a request's fingerprint in a log line. */
const LOGGED_FINGERPRINT_CHARS = 12

/** Maximum number of prompt parts in a log line. */
const MAX_LOGGED_PARTS = 8

/** Returns the beginning of a request's fingerprint, as it is logged. */
export function formatFingerprint (fingerprint: string): string {
  return fingerprint.slice(0, LOGGED_FINGERPRINT_CHARS)
}

/** Joins the shared parts of a prompt as they are logged. */
export function formatParts (parts: Iterable<string>): string {
  return [...parts].slice(0, MAX_LOGGED_PARTS).join('>')
}
