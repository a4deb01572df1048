import { createHash } from 'node:crypto'

/** Hashes the parts, each with its length so that no two lists of parts collide by joining. SHA-256, 64 hex characters. */
export function hashText (...parts: string[]): string {
  const hash = createHash('sha256')
  for (const part of parts) {
    hash.update(`${Buffer.byteLength(part)}:`)
    hash.update(part)
  }
  return hash.digest('hex')
}
