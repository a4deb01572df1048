import type http from 'node:http'
import type { AttemptId } from 'knapweedshunt-types'
import type { AttemptCall } from './attemptCall.ts'
import { runAttempt } from './runAttempt.ts'
import { sendCancel } from './sendCancel.ts'

/** Calls that the data path makes to endpoints. */
export interface EndpointClient {
  /** Sends an attempt and reports its course; resolves when its connection is done with, and never rejects. */
  run (call: AttemptCall): Promise<void>
  /** Tells an engine that an attempt's answer is not wanted any more; never rejects. */
  cancel (url: string, attempt: AttemptId, agent: http.Agent): Promise<void>
}

/** Calls by HTTP. */
export const HTTP_ENDPOINT_CLIENT: EndpointClient = { run: runAttempt, cancel: sendCancel }
