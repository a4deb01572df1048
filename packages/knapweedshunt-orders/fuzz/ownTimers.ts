/** Timers that stand still with the simulated process that set them. */
import { AsyncLocalStorage } from 'node:async_hooks'

/** A process that can stand still or end. */
export interface TimerOwner {
  alive: boolean
  /** By the monotonic clock, milliseconds; in the past while it runs. */
  pausedUntilMs: number
}

type Timer = ReturnType<typeof setTimeout>

const owners = new AsyncLocalStorage<TimerOwner | null>()

/** Runs work as a process, or as the world around them with null; timers that it sets, also later, are the process's. */
export function actAs<T> (owner: TimerOwner | null, work: () => T): T {
  return owners.run(owner, work)
}

/** Replaces the present clock's timers until the returned function is called: one set by a paused process fires once it runs again, and never once it has ended. */
export function freezeTimers (): () => void {
  const { setTimeout: set, clearTimeout: clear } = globalThis
  const rearmed = new WeakMap<object, Timer>()
  const setOwned = (callback: () => void, ms = 0): Timer => {
    const owner = owners.getStore() ?? null
    const fire = (): void => {
      if (owner === null) return callback()
      const leftMs = owner.pausedUntilMs - performance.now()
      if (leftMs > 0) rearmed.set(timer, set(fire, leftMs))
      else if (owner.alive) owners.run(owner, callback)
    }
    const timer = set(fire, ms)
    return timer
  }
  globalThis.setTimeout = setOwned as typeof setTimeout
  globalThis.clearTimeout = ((timer?: Timer) => clear(timer === undefined ? timer : rearmed.get(timer) ?? timer)) as typeof clearTimeout
  return () => Object.assign(globalThis, { setTimeout: set, clearTimeout: clear })
}
