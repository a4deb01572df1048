import type http from 'node:http'
import type { AttemptId } from 'knapweedshunt-types'
import type { AttemptCall } from './attemptCall.ts'
import { runRelay } from './relays/runRelay.ts'
import type { RelayCall } from './relays/runRelay.ts'
import { runAttempt } from './runAttempt.ts'
import { sendCancel } from './sendCancel.ts'

/** Calls from the data path to endpoints; tests replace it. */
export interface EndpointClient {
  /** Sends an attempt and emits its events; resolves when its connection is no longer used, and never rejects. */
  run (call: AttemptCall): Promise<void>
  /** Sends an attempt through another router, like `run`. */
  relay (call: RelayCall): Promise<void>
  /** Asks an engine to cancel an attempt; never rejects. */
  cancel (url: string, attempt: AttemptId, agent: http.Agent): Promise<void>
}

/** Client that calls endpoints over HTTP. */
export const HTTP_ENDPOINT_CLIENT: EndpointClient = { run: runAttempt, relay: runRelay, cancel: sendCancel }
