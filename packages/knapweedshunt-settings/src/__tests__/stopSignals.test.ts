import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import test from 'ava'

const PROGRAM = fileURLToPath(new URL('programs/slowStop.ts', import.meta.url))

// Guards against requests that end without an answer, as a repeated SIGTERM ends the process while it finishes them.
for (const signals of [['SIGTERM', 'SIGTERM', 'SIGTERM'], ['SIGINT', 'SIGTERM', 'SIGTERM']] as const) {
  test(`a process finishes its work when it is asked to stop again: ${signals.join()}`, async t => {
    const child = spawn(process.execPath, ['--import=tsx', '--conditions=source', PROGRAM], { stdio: ['ignore', 'pipe', 'inherit'] })
    t.teardown(() => child.kill('SIGKILL'))
    const lines: string[] = []
    const exited = once(child, 'exit')
    for await (const line of createInterface({ input: child.stdout })) {
      lines.push(line)
      if (line === 'runs') child.kill(signals[0])
      if (line !== 'stops') continue
      child.kill(signals[1])
      setTimeout(() => child.kill(signals[2]), 200)
    }
    t.deepEqual(lines, ['runs', 'stops', 'has stopped'])
    t.deepEqual(await exited, [0, null])
  })
}
