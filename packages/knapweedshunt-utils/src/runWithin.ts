/** Runs a call with a signal that aborts after `ms`, or when one of the given signals does. */
export async function runWithin<T> (ms: number, signals: AbortSignal[], call: (signal: AbortSignal) => Promise<T>): Promise<T> {
  const controller = new AbortController()
  const abort = () => controller.abort()
  const timer = setTimeout(() => controller.abort(new Error(`no answer within ${Math.round(ms)} ms`)), ms)
  for (const signal of signals) {
    if (signal.aborted) abort()
    signal.addEventListener('abort', abort)
  }
  try {
    return await call(controller.signal)
  } finally {
    clearTimeout(timer)
    for (const signal of signals) signal.removeEventListener('abort', abort)
  }
}
