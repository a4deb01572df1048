/** Timers that are suspended while the simulated process that set them is paused. */
import { AsyncLocalStorage } from 'node:async_hooks'

/** A simulated process that can be paused or ended. */
export interface SimProcess {
  isAlive: boolean
  /** Monotonic clock, milliseconds; in the past while the process runs. */
  pausedUntilMs: number
}

type Timer = ReturnType<typeof setTimeout>

const owners = new AsyncLocalStorage<SimProcess | null>()

/** Runs work as a process, or outside all processes with null. Timers that it sets, including those set in later callbacks, belong to that process. */
export function runAsProcess<T> (owner: SimProcess | null, work: () => T): T {
  return owners.run(owner, work)
}

/** Replaces the global timer functions until the returned function is called. A timer that is due while its process is paused fires when the process resumes; it never fires after the process has ended. */
export function installProcessTimers (): () => void {
  const { setTimeout: set, clearTimeout: clear } = globalThis
  const rearmed = new WeakMap<object, Timer>()
  const setOwned = (callback: () => void, ms = 0): Timer => {
    const owner = owners.getStore() ?? null
    const fire = (): void => {
      if (owner === null) return callback()
      const leftMs = owner.pausedUntilMs - performance.now()
      if (leftMs > 0) rearmed.set(timer, set(fire, leftMs))
      else if (owner.isAlive) owners.run(owner, callback)
    }
    const timer = set(fire, ms)
    return timer
  }
  globalThis.setTimeout = setOwned as typeof setTimeout
  globalThis.clearTimeout = ((timer?: Timer) => clear(timer === undefined ? timer : rearmed.get(timer) ?? timer)) as typeof clearTimeout
  return () => Object.assign(globalThis, { setTimeout: set, clearTimeout: clear })
}
