import { createHash, timingSafeEqual } from 'node:crypto'

/** Compares two secrets in constant time. Hashes them first because timingSafeEqual requires inputs of equal length. */
export function isSameSecret (a: string, b: string): boolean {
  const digestA = createHash('sha256').update(a).digest()
  const digestB = createHash('sha256').update(b).digest()
  return timingSafeEqual(digestA, digestB)
}
