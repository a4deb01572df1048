import { hashSalt } from 'knapweedshunt-placement'
import type { EndpointName } from 'knapweedshunt-types'
import type { CallerRequest } from './callerRequest.ts'
import type { DataPath } from './dataPath.ts'

/** Computes the cache salt for an engine. It includes the version of the weights that the endpoint runs, so that KV cache blocks of other weights never match. Empty for services. */
export function computeCacheSalt (dataPath: DataPath, request: CallerRequest, endpoint: EndpointName): string {
  if (request.work.type === 'service') return ''
  const pool = dataPath.resourceIndex?.findPool(request.pool)
  const currentVersion = pool?.type === 'model' ? pool.weightsVersion : request.work.salt.weightsVersion
  const weightsVersion = dataPath.endpoints.find(endpoint)?.weightsVersion ?? currentVersion
  return hashSalt({ ...request.work.salt, weightsVersion })
}
