import { hashText } from 'knapweedshunt-utils'

/** 64 bits as two 32-bit integers. */
export interface HashSeed {
  hi: number
  lo: number
}

const HEX_PREFIX = /^[0-9a-f]{16}/

/** Parses the first 64 bits of a hex key; any other text is hashed first. */
export function parseKeySeed (key: string): HashSeed {
  const hex = HEX_PREFIX.test(key) ? key : hashText(key)
  return { hi: parseInt(hex.slice(0, 8), 16) | 0, lo: parseInt(hex.slice(8, 16), 16) | 0 }
}

/** Hashes two seeds to a number in (0, 1). Level keys are SHA-256 digests already, so a cheap mixing function is sufficient. */
export function hashSeeds (a: HashSeed, b: HashSeed): number {
  let h = Math.imul(a.hi ^ b.hi, 0x9E3779B1)
  h ^= h >>> 15
  h = Math.imul(h + (a.lo ^ b.lo) | 0, 0x85EBCA77)
  h ^= h >>> 13
  h = Math.imul(h, 0xC2B2AE3D)
  h ^= h >>> 16
  return ((h >>> 0) + 0.5) / 2 ** 32
}
