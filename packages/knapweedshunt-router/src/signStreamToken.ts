import { computeMac, isSameSecret, parseJson } from 'knapweedshunt-utils'
import { z } from 'zod'
import type { CallerRequest } from './callerRequest.ts'
import type { StreamToken } from './streamToken.ts'

const PURPOSE = 'stream-token'
const text = z.string().max(255)
const tokenSchema = z.object({ pool: text, softwareVersion: text, weightsVersion: text }) satisfies z.ZodType<StreamToken>

/** The part of a request to which its token is bound. */
type TokenOwner = Pick<CallerRequest, 'organisation' | 'digest'>

/** Signs a token for one organisation's request: `<base64url JSON>.<base64url HMAC-SHA256>`. */
export function signStreamToken ({ pool, softwareVersion, weightsVersion }: StreamToken, owner: TokenOwner, sharedKey: string): string {
  const body = Buffer.from(JSON.stringify({ pool, softwareVersion, weightsVersion })).toString('base64url')
  return `${body}.${hashBody(body, owner, sharedKey)}`
}

/** Parses and verifies a token; null when it is malformed, or was not signed for this organisation and request. */
export function parseStreamToken (token: string, owner: TokenOwner, sharedKey: string): StreamToken | null {
  const [body, mac, ...rest] = token.split('.')
  if (body === undefined || mac === undefined || rest.length > 0) return null
  if (!isSameSecret(mac, hashBody(body, owner, sharedKey))) return null
  return tokenSchema.safeParse(parseJson(Buffer.from(body, 'base64url').toString('utf8'))).data ?? null
}

function hashBody (body: string, { organisation, digest }: TokenOwner, sharedKey: string): string {
  return computeMac(sharedKey, PURPOSE, body, digest, organisation)
}
