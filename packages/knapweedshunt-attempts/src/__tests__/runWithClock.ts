import { install } from '@sinonjs/fake-timers'

/** Runs a test on the fake clock, which it advances itself. */
export function runWithClock (run: (tick: (ms: number) => void) => void): void {
  const clock = install()
  try {
    run(ms => { clock.tick(ms) })
  } finally {
    clock.uninstall()
  }
}
