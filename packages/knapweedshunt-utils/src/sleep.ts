/** Resolves after `durationMs`, or early, without an error, when the signal aborts. */
export function sleep (durationMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) return resolve()
    const timer = setTimeout(finish, durationMs)
    signal?.addEventListener('abort', finish, { once: true })
    function finish () {
      clearTimeout(timer)
      signal?.removeEventListener('abort', finish)
      resolve()
    }
  })
}
