import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { GroupCommitter, PlatformRefusedError, PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Platform, RowChange, RowChangeResult } from 'knapweedshunt-platform'
import { createRng } from 'knapweedshunt-utils'

const POISON = 'poison'
const ROWS = 5
const CHANGES = 60

function createPlatform (memory: MemoryPlatform): Platform {
  return Object.assign(Object.create(memory), {
    transact: (transaction: Parameters<Platform['transact']>[0]) => {
      if (transaction.checks.some(check => check.key === POISON)) return Promise.reject(new PlatformRefusedError('Malformed.'))
      return memory.transact(transaction)
    }
  })
}

function drawChange (seed: number, i: number): RowChange {
  const rng = createRng(seed * CHANGES + i)
  const key = rng.int(20) === 0 ? POISON : `row-${rng.int(ROWS)}`
  return { table: 'rows', key, version: rng.int(3) === 0 ? rng.int(CHANGES) : 0, value: { writer: i } }
}

test.serial('one writer wins a row, and each hears its own result', async t => {
  const clock = FakeTimers.install()
  try {
    for (let seed = 1; seed <= 50; seed++) {
      const memory = new MemoryPlatform()
      memory.faults.delayMs = 5
      const committer = new GroupCommitter(createPlatform(memory), { maxChanges: 1 + seed % 16, maxInFlight: 1 + seed % 3 })
      const results: Array<Promise<RowChangeResult | Error>> = []
      const changes = Array.from({ length: CHANGES }, (_, i) => drawChange(seed, i))
      for (const change of changes) {
        results.push(committer.commit(change, seed % 2 === 0 ? 0 : 3).catch(error => error as Error))
        await clock.tickAsync(1)
      }
      await clock.tickAsync(5_000)
      const settled = await Promise.all(results)
      for (const [i, result] of settled.entries()) {
        if (changes[i].key === POISON) t.true(result instanceof PlatformRefusedError)
        else t.true(!(result instanceof Error) && (result.type === 'committed' || result.row?.version !== changes[i].version), `${seed}`)
      }
      for (let row = 0; row < ROWS; row++) {
        const key = `row-${row}`
        const winners = settled.filter((result, i) => changes[i].key === key && changes[i].version === 0 && !(result instanceof Error) && result.type === 'committed')
        const tried = changes.some(change => change.key === key && change.version === 0)
        t.is(winners.length, tried ? 1 : 0, `${seed} ${key}`)
      }
    }
  } finally {
    clock.uninstall()
  }
})

test('an unanswered group fails all its changes', async t => {
  const memory = new MemoryPlatform()
  memory.faults.down = true
  const committer = new GroupCommitter(memory)
  const change = { table: 'rows', key: 'row', version: 0, value: {} }
  await t.throwsAsync(committer.commit(change, 0), { instanceOf: PlatformUnreachableError })
})
