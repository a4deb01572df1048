import { randomBytes } from 'node:crypto'

const INCARNATION_BYTES = 8

/** Creates a random incarnation id of 16 hexadecimal characters. */
export function createIncarnation (): string {
  return randomBytes(INCARNATION_BYTES).toString('hex')
}
