import { createHash } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'
import { isSameSecret } from 'knapweedshunt-utils'
import { z } from 'zod'

/** What an operator may do. */
export type OperatorRole =
  | { type: 'viewer' }
  | { type: 'editor' }
  /** Sees and changes only what belongs to one organisation. */
  | { type: 'organisation', organisation: string }

/** An operator key, kept only as a hash. */
export interface OperatorKey {
  /** SHA-256 of the key, 64 hex characters. */
  keyHash: string
  role: OperatorRole
}

const ENTRY_PATTERN = /^([0-9a-f]{64}):(viewer|editor|organisation=([a-z0-9-]+))$/

/** Parses `hash:role` entries parted by commas, where role is viewer, editor or organisation=NAME. */
export const operatorKeysSchema = z.string().transform((text, context) => text.split(',').map(entry => {
  const found = ENTRY_PATTERN.exec(entry.trim())
  if (found === null) {
    context.addIssue({ code: 'custom', message: 'must be entries SHA256:ROLE parted by commas' })
    return z.NEVER
  }
  return { keyHash: found[1], role: parseRole(found[2], found[3]) }
}))

/** Finds the role of the key in the headers, null when there is none. Every known key is compared, in constant time. */
export function findRole (headers: IncomingHttpHeaders, keys: OperatorKey[]): OperatorRole | null {
  const given = (headers.authorization ?? '').replace(/^Bearer /, '')
  const hash = createHash('sha256').update(given).digest('hex')
  const matches = keys.filter(key => isSameSecret(key.keyHash, hash))
  return matches[0]?.role ?? null
}

function parseRole (name: string, organisation: string | undefined): OperatorRole {
  if (organisation !== undefined) return { type: 'organisation', organisation }
  return name === 'editor' ? { type: 'editor' } : { type: 'viewer' }
}
