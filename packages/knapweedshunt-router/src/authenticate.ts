import { createHash } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'
import type { OrganisationName } from 'knapweedshunt-types'
import { createCallerError } from './callerError.ts'
import type { ResourceIndex } from './resourceIndex.ts'

const BEARER_PATTERN = /^Bearer (\S+)$/

/** Finds the caller's organisation. The key is looked up by its SHA-256, so the time of the comparison reveals nothing about the key. Throws CallerError. */
export function authenticate (headers: IncomingHttpHeaders, index: ResourceIndex): OrganisationName {
  const key = BEARER_PATTERN.exec(headers.authorization ?? '')?.[1]
  if (key === undefined) throw createCallerError('key_missing', 'The access key is missing: send "Authorization: Bearer <key>".')
  const organisation = index.findOrganisation(createHash('sha256').update(key).digest('hex'))
  if (organisation === undefined) throw createCallerError('key_unknown', 'The access key is not known: check it, or ask your operator for one.')
  return organisation
}
