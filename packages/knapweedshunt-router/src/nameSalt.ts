import { hashSalt } from 'knapweedshunt-placement'
import type { EndpointName } from 'knapweedshunt-types'
import type { CallerRequest } from './callerRequest.ts'
import type { DataPath } from './dataPath.ts'

/** Cache salt for an engine: names the weights that it runs now, so that blocks of other weights never match. Empty for services. */
export function nameSalt (path: DataPath, request: CallerRequest, endpoint: EndpointName): string {
  if (request.work.type === 'service') return ''
  const pool = path.index?.findPool(request.pool)
  const inForce = pool?.type === 'model' ? pool.weightsVersion : request.work.salt.weightsVersion
  const weightsVersion = path.endpoints.find(endpoint)?.weightsVersion ?? inForce
  return hashSalt({ ...request.work.salt, weightsVersion })
}
