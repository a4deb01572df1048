/** Delay of a timer from which on the process counts as held up, in milliseconds. */
const MIN_HOLD_UP_MS = 10

/**
 * Calls `onTimeout` when nothing was heard for a time, in milliseconds; returns a function that stops the timeout.
 *
 * After the process was held up, its timers run before it reads what has arrived meanwhile, and what it had to send is still
 * unsent. The timeout is longer by the time for which the process was late, twice as long at most, and runs out after arrivals are read.
 */
export function startTimeout (timeoutMs: number, onTimeout: () => void): () => void {
  const dueAtMs = performance.now() + timeoutMs
  let immediate: NodeJS.Immediate | undefined
  let timer = setTimeout(() => {
    const lateMs = performance.now() - dueAtMs
    if (lateMs < MIN_HOLD_UP_MS) return endAfterArrivals()
    timer = setTimeout(endAfterArrivals, Math.min(lateMs, timeoutMs))
  }, timeoutMs)
  function endAfterArrivals (): void {
    immediate = setImmediate(onTimeout)
  }
  return () => {
    clearTimeout(timer)
    clearImmediate(immediate)
  }
}
