/** Resolves when the signal aborts. */
export function waitForAbort (signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal.aborted) resolve()
    else signal.addEventListener('abort', () => resolve(), { once: true })
  })
}
