import type { StreamVersions } from 'knapweedshunt-attempts'
import { createCallerError } from './callerError.ts'
import type { CallerErrorInstance } from './callerError.ts'
import type { CallerRequest } from './callerRequest.ts'
import type { DataPath } from './dataPath.ts'
import { parseStreamToken } from './signStreamToken.ts'

const RETRY_AFTER_MS = 1_000

/** Determines what began the stream that a request resumes; null if it resumes none. Throws CallerError if that is not known, or was another pool. */
export async function determineOrigin (dataPath: DataPath, request: CallerRequest): Promise<StreamVersions | null> {
  if (request.resumeFrom === 0 || request.work.type !== 'completion') return null
  const token = request.streamToken === null ? null : parseStreamToken(request.streamToken, request, dataPath.peerKey)
  if (token === null) return { softwareVersion: await determineOnlyVersion(dataPath, request), weightsVersion: '' }
  if (token.pool !== request.pool) throw createOriginError('The stream was begun in another pool: ask again from the start.')
  return { softwareVersion: token.softwareVersion, weightsVersion: token.weightsVersion }
}

/** Determines the only version that can have begun streams of the pool; empty if its endpoints state none. */
async function determineOnlyVersion (dataPath: DataPath, { pool }: CallerRequest): Promise<string> {
  const own = dataPath.softwareVersions.listVersions(pool)
  const versions = new Set([...own, ...await dataPath.peerExchange.askVersions(pool)])
  const stated = [...versions].filter(version => version !== '')
  if (stated.length > 1) throw createOriginError('Engines of several software versions may have begun the stream: send its X-Stream-Token, or ask again from the start.')
  if (versions.size === 0) throw createOriginError('The router does not know yet which software version began the stream: send its X-Stream-Token, or try again later.')
  return stated[0] ?? ''
}

function createOriginError (message: string): CallerErrorInstance {
  return createCallerError('software_changed', message, 'not-run', RETRY_AFTER_MS)
}
