/** Computes the age of what another computer wrote at a wall-clock time in Unix milliseconds. Their clocks differ, so a time may lie in the future; the age is 0 then. */
export function computeAgeMs (atMs: number): number {
  return Math.max(0, Date.now() - atMs)
}
