import { randomBytes } from 'node:crypto'

const INCARNATION_BYTES = 8

/** Draws a new incarnation number: 16 hex characters, different at each call. */
export function createIncarnation (): string {
  return randomBytes(INCARNATION_BYTES).toString('hex')
}
