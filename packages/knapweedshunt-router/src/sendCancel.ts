import type http from 'node:http'
import type { AttemptId } from 'knapweedshunt-types'
import { callJson } from 'knapweedshunt-utils'

const CANCEL_TIMEOUT_MS = 1_000

/** Tells an engine that an attempt's answer is not wanted any more. Resolves also when the engine is not reached: closing the connection says the same. */
export async function sendCancel (url: string, attempt: AttemptId, agent: http.Agent): Promise<void> {
  try {
    await callJson({ method: 'POST', url: `${url}/manage/cancel`, body: { attempt }, timeoutMs: CANCEL_TIMEOUT_MS, agent })
  } catch {
    // The endpoint is gone or hangs; nothing more can be told to it.
  }
}
