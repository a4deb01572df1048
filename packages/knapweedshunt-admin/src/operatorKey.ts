import { createHash } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'
import { isSameSecret } from 'knapweedshunt-utils'
import { z } from 'zod'

/** Permissions of an operator key. */
export type OperatorRole =
  | { type: 'viewer' }
  | { type: 'editor' }
  /** Reads only what one organisation may see and changes only its access keys. */
  | { type: 'organisation', organisation: string }

/** An operator key, stored only as a hash. */
export interface OperatorKey {
  /** SHA-256 of the key, 64 hex characters. */
  keyHash: string
  role: OperatorRole
}

const ENTRY_PATTERN = /^([0-9a-f]{64}):(viewer|editor|organisation=([a-z0-9-]+))$/

/** Parses comma-separated `hash:role` entries, where role is viewer, editor or organisation=NAME. */
export const operatorKeysSchema = z.string().transform((text, context) => text.split(',').map(entry => {
  const match = ENTRY_PATTERN.exec(entry.trim())
  if (match === null) {
    context.addIssue({ code: 'custom', message: 'must be comma-separated entries SHA256:ROLE' })
    return z.NEVER
  }
  return { keyHash: match[1], role: parseRole(match[2], match[3]) }
}))

/** Returns the role of the bearer key in the headers, or null when the key is missing or unknown. Every configured key is compared, each in constant time, so that the response time does not tell which key matches. */
export function findRole (headers: IncomingHttpHeaders, keys: OperatorKey[]): OperatorRole | null {
  const presentedKey = (headers.authorization ?? '').replace(/^Bearer /, '')
  const presentedHash = createHash('sha256').update(presentedKey).digest('hex')
  const matchingKeys = keys.filter(key => isSameSecret(key.keyHash, presentedHash))
  return matchingKeys[0]?.role ?? null
}

function parseRole (name: string, organisation: string | undefined): OperatorRole {
  if (organisation !== undefined) return { type: 'organisation', organisation }
  return name === 'editor' ? { type: 'editor' } : { type: 'viewer' }
}
