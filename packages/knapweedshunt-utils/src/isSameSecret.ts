import { createHash, timingSafeEqual } from 'node:crypto'

/** Compares two secrets in constant time, whatever their lengths. */
export function isSameSecret (a: string, b: string): boolean {
  const digestA = createHash('sha256').update(a).digest()
  const digestB = createHash('sha256').update(b).digest()
  return timingSafeEqual(digestA, digestB)
}
