/** Waits by the runtime's clock; resolves early when the signal aborts. */
export function sleep (ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) return resolve()
    const timer = setTimeout(finish, ms)
    signal?.addEventListener('abort', finish, { once: true })
    function finish () {
      clearTimeout(timer)
      signal?.removeEventListener('abort', finish)
      resolve()
    }
  })
}
