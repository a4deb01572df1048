import { startTimeout } from './startTimeout.ts'

/** Runs `call` with a signal that aborts after `timeoutMs` or when one of `signals` does. `call` must react to the signal; it isn't abandoned. */
export async function runWithTimeout<T> (timeoutMs: number, signals: AbortSignal[], call: (signal: AbortSignal) => Promise<T>): Promise<T> {
  const controller = new AbortController()
  const abort = () => controller.abort(signals.find(({ aborted }) => aborted)?.reason)
  const stopTimeout = startTimeout(timeoutMs, () => controller.abort(new Error(`no answer within ${Math.round(timeoutMs)} ms`)))
  for (const signal of signals) {
    if (signal.aborted) abort()
    signal.addEventListener('abort', abort)
  }
  try {
    return await call(controller.signal)
  } finally {
    stopTimeout()
    for (const signal of signals) signal.removeEventListener('abort', abort)
  }
}
