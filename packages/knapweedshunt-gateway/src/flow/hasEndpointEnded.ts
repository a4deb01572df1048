import { hasStoppedListening } from '../endpoints/hasStoppedListening.ts'
import type { RunningAttempt } from './runningAttempt.ts'

/** Timeout of the check whether an endpoint still listens, in milliseconds; without an answer the endpoint counts as alive. */
const END_CHECK_TIMEOUT_MS = 100

/** Why a body counts as cut whose endpoint has ended. */
export const ENDPOINT_ENDED = 'ended with the process of its endpoint, which refuses connections'

/** Whether a body may lack a part as the process of its endpoint has ended: a body that the end of its connection delimits also ends so then, and nothing listens there any more. */
export async function hasEndpointEnded ({ attempt, target }: RunningAttempt): Promise<boolean> {
  if (attempt.connectionEnd === null || target.type !== 'endpoint') return false
  return await hasStoppedListening(target.record.entry.address, END_CHECK_TIMEOUT_MS)
}
