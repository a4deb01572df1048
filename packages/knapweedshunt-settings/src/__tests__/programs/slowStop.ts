import { setTimeout as sleep } from 'node:timers/promises'
import { runProgram } from '../../runProgram.ts'

const STOP_MS = 1_000

/** Takes a while to stop. */
await runProgram({
  name: 'slow-stop',
  description: 'Takes a while to stop',
  settings: {},
  run: async (_values, signal) => {
    const timer = setInterval(() => {}, STOP_MS)
    const stopped = new Promise<void>(resolve => signal.addEventListener('abort', () => resolve(), { once: true }))
    process.stdout.write('runs\n')
    await stopped
    process.stdout.write('stops\n')
    await sleep(STOP_MS)
    clearInterval(timer)
    process.stdout.write('has stopped\n')
  }
})
