import { parseSignedJson, signJson } from 'knapweedshunt-utils'
import { z } from 'zod'
import type { CallerRequest } from './callerRequest.ts'
import type { StreamToken } from './streamToken.ts'

const PURPOSE = 'stream-token'
const text = z.string().max(255)
const tokenSchema = z.object({ pool: text, softwareVersion: text, weightsVersion: text }) satisfies z.ZodType<StreamToken>

/** The part of a request to which its token is bound. */
type TokenOwner = Pick<CallerRequest, 'organisation' | 'digest'>

/** Signs a token for one organisation's request. */
export function signStreamToken ({ pool, softwareVersion, weightsVersion }: StreamToken, { digest, organisation }: TokenOwner, sharedKey: string): string {
  return signJson({ pool, softwareVersion, weightsVersion }, { sharedKey, purpose: PURPOSE, owners: [digest, organisation] })
}

/** Parses and verifies a token; null when it is malformed, or was not signed for this organisation and request. */
export function parseStreamToken (token: string, { digest, organisation }: TokenOwner, sharedKey: string): StreamToken | null {
  return tokenSchema.safeParse(parseSignedJson(token, { sharedKey, purpose: PURPOSE, owners: [digest, organisation] })).data ?? null
}
