import type { RequestId } from 'knapweedshunt-types'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { RequestPlan } from './requestPlan.ts'

/** What a crash is recorded with; unlike the plan of a request it does not hold the body. */
export interface CrashedAttempt {
  requestId: RequestId
  fingerprint: string
  sharedParts: string[]
  record: EndpointRecord
  startedAtMs: number
}

/** Builds the record of an attempt under which the endpoint crashed or may have crashed. */
export function buildCrashedAttempt ({ call, fingerprint, sharedParts }: RequestPlan, record: EndpointRecord, startedAtMs: number): CrashedAttempt {
  return { requestId: call.requestId, fingerprint, sharedParts, record, startedAtMs }
}
