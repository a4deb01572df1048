import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { GroupCommitter, PlatformRefusedError, PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Platform, RowChange, RowChangeResult } from 'knapweedshunt-platform'
import { createRng } from 'knapweedshunt-utils'

const MALFORMED_KEY = 'malformed'
const ROW_COUNT = 5
const CHANGE_COUNT = 60

function createPlatformRefusingMalformed (memory: MemoryPlatform): Platform {
  return Object.assign(Object.create(memory), {
    transact: (transaction: Parameters<Platform['transact']>[0]) => {
      if (transaction.checks.some(check => check.key === MALFORMED_KEY)) return Promise.reject(new PlatformRefusedError('Malformed transaction.'))
      return memory.transact(transaction)
    }
  })
}

function drawChange (seed: number, i: number): RowChange {
  const rng = createRng(seed * CHANGE_COUNT + i)
  const key = rng.drawInt(20) === 0 ? MALFORMED_KEY : `row-${rng.drawInt(ROW_COUNT)}`
  return { table: 'rows', key, version: rng.drawInt(3) === 0 ? rng.drawInt(CHANGE_COUNT) : 0, value: { writer: i } }
}

test.serial('of concurrent writers of a row one commits, and each gets its own result', async t => {
  const clock = FakeTimers.install()
  try {
    for (let seed = 1; seed <= 50; seed++) {
      const memory = new MemoryPlatform()
      memory.faults.delayMs = 5
      const committer = new GroupCommitter(createPlatformRefusingMalformed(memory), { maxChanges: 1 + seed % 16, maxInFlight: 1 + seed % 3 })
      const results: Array<Promise<RowChangeResult | Error>> = []
      const changes = Array.from({ length: CHANGE_COUNT }, (_, i) => drawChange(seed, i))
      for (const change of changes) {
        results.push(committer.commit(change, seed % 2 === 0 ? 0 : 3).catch(error => error as Error))
        await clock.tickAsync(1)
      }
      await clock.tickAsync(5_000)
      const outcomes = await Promise.all(results)
      for (const [i, result] of outcomes.entries()) {
        if (changes[i].key === MALFORMED_KEY) t.true(result instanceof PlatformRefusedError)
        else t.true(!(result instanceof Error) && (result.type === 'committed' || result.row?.version !== changes[i].version), `${seed}`)
      }
      for (let row = 0; row < ROW_COUNT; row++) {
        const key = `row-${row}`
        const winners = outcomes.filter((result, i) => changes[i].key === key && changes[i].version === 0 && !(result instanceof Error) && result.type === 'committed')
        const hasCreateAttempt = changes.some(change => change.key === key && change.version === 0)
        t.is(winners.length, hasCreateAttempt ? 1 : 0, `${seed} ${key}`)
      }
    }
  } finally {
    clock.uninstall()
  }
})

test('a group without an answer from the platform rejects all its changes', async t => {
  const memory = new MemoryPlatform()
  memory.faults.down = true
  const committer = new GroupCommitter(memory)
  const change = { table: 'rows', key: 'row', version: 0, value: {} }
  await t.throwsAsync(committer.commit(change, 0), { instanceOf: PlatformUnreachableError })
})
