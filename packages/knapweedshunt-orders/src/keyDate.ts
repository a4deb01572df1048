const DATED_KEY = /^at:(\d{13}):./

/** Date that a key of the form `at:<unix milliseconds>:<rest>` declares; null for an undated key. */
export function readKeyDate (idempotencyKey: string): number | null {
  const digits = DATED_KEY.exec(idempotencyKey)?.[1]
  return digits === undefined ? null : Number(digits)
}
