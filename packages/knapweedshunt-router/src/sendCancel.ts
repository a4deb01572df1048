import type http from 'node:http'
import type { AttemptId } from 'knapweedshunt-types'
import { requestJson } from 'knapweedshunt-utils'

const CANCEL_TIMEOUT_MS = 1_000

/** Asks an engine to cancel an attempt. Resolves even when the engine is unreachable, since the closed connection cancels the attempt too. */
export async function sendCancel (url: string, attempt: AttemptId, agent: http.Agent): Promise<void> {
  try {
    await requestJson({ method: 'POST', url: `${url}/manage/cancel`, body: { attempt }, timeoutMs: CANCEL_TIMEOUT_MS, agent })
  } catch {
    // The endpoint is unreachable or hangs; the closed connection is the only signal left.
  }
}
