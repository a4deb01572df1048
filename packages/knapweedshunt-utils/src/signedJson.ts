import { createHmac } from 'node:crypto'
import { isSameSecret } from './isSameSecret.ts'
import { parseJson } from './parseJson.ts'

/** What a signature is bound to. */
export interface SignatureScope {
  sharedKey: string
  /** Tells apart what is signed with the same key; contains no dots. */
  purpose: string
  /** For whom the value is signed; only the last one may contain dots. */
  owners?: string[]
}

/** Signs a value: `<base64url JSON>.<base64url HMAC-SHA256>`. */
export function signJson (value: unknown, scope: SignatureScope): string {
  const body = Buffer.from(JSON.stringify(value)).toString('base64url')
  return `${body}.${computeMac(body, scope)}`
}

/** Parses and verifies a signed value; null when it is malformed, or was not signed in this scope. */
export function parseSignedJson (text: string, scope: SignatureScope): unknown {
  const [body, mac, ...rest] = text.split('.')
  if (body === undefined || mac === undefined || rest.length > 0) return null
  if (!isSameSecret(mac, computeMac(body, scope))) return null
  return parseJson(Buffer.from(body, 'base64url').toString('utf8'))
}

function computeMac (body: string, { sharedKey, purpose, owners = [] }: SignatureScope): string {
  return createHmac('sha256', sharedKey).update([purpose, body, ...owners].join('.')).digest('base64url')
}
