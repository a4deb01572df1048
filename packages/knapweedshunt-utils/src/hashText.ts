import { createHash } from 'node:crypto'

/** Returns the SHA-256 of the parts as 64 hexadecimal characters. Each part is prefixed with its length in bytes, so that lists which concatenate to the same text hash differently. */
export function hashText (...parts: string[]): string {
  const hash = createHash('sha256')
  for (const part of parts) {
    hash.update(`${Buffer.byteLength(part)}:`)
    hash.update(part)
  }
  return hash.digest('hex')
}
