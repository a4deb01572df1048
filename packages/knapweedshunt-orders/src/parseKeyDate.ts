const DATED_KEY = /^at:(\d{13}):./

/** Returns the Unix time in milliseconds from a key of the form `at:<unix milliseconds>:<rest>`; null for an undated key. */
export function parseKeyDate (idempotencyKey: string): number | null {
  const digits = DATED_KEY.exec(idempotencyKey)?.[1]
  return digits === undefined ? null : Number(digits)
}
