import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Platform } from 'knapweedshunt-platform'
import { sleep } from 'knapweedshunt-utils'
import { DEFAULT_LEASE_OPTIONS } from '../leaseOptions.ts'
import { LEASE_TABLE } from '../leaseState.ts'
import type { LeaseRow } from '../leaseState.ts'
import { LeaseTask } from '../leaseTask.ts'

const NAME = 'fleet/a'
const STEPS = ['acquisition read', 'acquisition write', 'renewal read', 'renewal write'] as const
const { durationMs, guardMs, maxCommandMs } = DEFAULT_LEASE_OPTIONS

type CallWrapper = <T>(run: () => Promise<T>) => Promise<T>

function throwUnreachable (): never {
  throw new PlatformUnreachableError('Store did not answer.')
}

const FAULTS: Array<[string, CallWrapper]> = [
  ['not applied', async () => throwUnreachable()],
  ['answer lost', async run => {
    await run()
    return throwUnreachable()
  }],
  ['applied late', async run => {
    setTimeout(() => { run().catch(() => {}) }, durationMs + 3_000)
    return throwUnreachable()
  }],
  ['paused before the call', async run => {
    await sleep(durationMs * 2)
    return await run()
  }],
  ['paused after the call', async run => {
    const value = await run()
    await sleep(durationMs * 2)
    return value
  }],
  ['slow', async run => {
    await sleep(1_900)
    return await run()
  }]
]

/** Injects a fault at one step of one contender; with `isLasting`, every later call within the first 30 s fails too. */
function buildPlatform (memory: MemoryPlatform, step: typeof STEPS[number], fault: CallWrapper, isLasting: boolean, onFault: () => void): Platform {
  let writes = 0
  let isDone = false
  const wrap = async <T>(kind: 'read' | 'write', run: () => Promise<T>): Promise<T> => {
    const name = `${writes === 0 ? 'acquisition' : 'renewal'} ${kind}`
    if (isDone && isLasting && performance.now() < 30_000) throwUnreachable()
    if (isDone || name !== step) return await run()
    isDone = true
    onFault()
    return await fault(run) as T
  }
  return {
    ...memory,
    read: (table, key) => wrap('read', () => memory.read(table, key)),
    scan: request => memory.scan(request),
    getObject: name => memory.getObject(name),
    putObject: (name, text) => memory.putObject(name, text),
    listVms: () => memory.listVms(),
    transact: transaction => wrap('write', () => memory.transact(transaction)).finally(() => { writes++ })
  }
}

for (const step of STEPS) {
  for (const [fault, call] of FAULTS) {
    for (const isLasting of [false, true]) {
      test.serial(`${step}, ${fault}${isLasting ? ', then disconnected' : ''}`, async t => {
        const clock = install()
        const stopping = new AbortController()
        try {
          const memory = new MemoryPlatform()
          let faults = 0
          const a = new LeaseTask(buildPlatform(memory, step, call, isLasting, () => faults++), NAME, 'a', DEFAULT_LEASE_OPTIONS)
          const b = new LeaseTask(memory, NAME, 'b', DEFAULT_LEASE_OPTIONS)
          const tasks = [a.run(stopping.signal, () => true), clock.tickAsync(100).then(() => b.run(stopping.signal, () => true))]
          const holders = new Map<number, string>()
          let lastUnfenced = { name: '', atMs: 0 }
          for (let at = 0; at < 60_000; at += 100) {
            await clock.tickAsync(100)
            t.false(a.readFencing(true) !== null && b.readFencing(true) !== null)
            for (const [name, lease] of [['a', a], ['b', b]] as const) {
              const fencing = lease.readFencing(true)
              if (fencing === null) continue
              t.is(holders.get(fencing) ?? name, name)
              holders.set(fencing, name)
              if (lease.readFencing(false) === null) continue
              if (lastUnfenced.name !== name && lastUnfenced.name !== '') t.true(performance.now() - lastUnfenced.atMs >= maxCommandMs + guardMs)
              lastUnfenced = { name, atMs: performance.now() }
            }
          }
          t.is(faults, 1)
          t.true(a.readFencing(false) !== null || b.readFencing(false) !== null)
          const holder = a.readFencing(true) === null ? b : a
          stopping.abort()
          await clock.tickAsync(40_000)
          await Promise.all(tasks)
          t.is(holder.readFencing(true), null)
          t.is((memory.tables.read(LEASE_TABLE, NAME)?.value as LeaseRow).durationMs, 0)
        } finally {
          stopping.abort()
          clock.uninstall()
        }
      })
    }
  }
}
