import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { computeStreamKey } from 'knapweedshunt-attempts'
import type { PooledStream } from 'knapweedshunt-attempts'
import type { Platform } from 'knapweedshunt-platform'
import { createRng } from 'knapweedshunt-utils'
import { encodeStreamRow, STREAM_TABLE } from '../peers/streamRow.ts'
import { StreamRowReader } from '../peers/streamRowReader.ts'
import { StreamRows } from '../peers/streamRows.ts'
import { sweepStreamRows } from '../peers/sweepStreamRows.ts'
import type { Decision } from '../records/decision.ts'
import { DecisionLog } from '../records/decisionLog.ts'
import { GatewayMetrics } from '../records/gatewayMetrics.ts'
import { MemoryPlatform } from './memoryPlatform.ts'
import { measureStreamRows } from './streamRowsLoad.ts'

const RETENTION_MS = 18_000

class RecordingLog extends DecisionLog {
  readonly decisions: Decision[] = []

  override record (decision: Decision): void {
    this.decisions.push(decision)
  }
}

interface OpenedRows {
  rows: StreamRows
  restored: PooledStream[]
  log: RecordingLog
  abort: AbortController
}

function openRows (platform: Platform, vm: string, incarnation: string): OpenedRows {
  const [restored, log, abort, rng]: [PooledStream[], RecordingLog, AbortController, ReturnType<typeof createRng>] = [[], new RecordingLog(), new AbortController(), createRng(vm.length + Number(vm.slice(3)))]
  const rows = new StreamRows({ platform, vm, incarnation, decisionLog: log, metrics: new GatewayMetrics(), signal: abort.signal, randomizeDelayMs: meanMs => meanMs * (0.5 + rng.drawFloat()), isSweeper: () => false, getRetentionMs: () => RETENTION_MS, countVms: () => 8, onRestored: streams => restored.push(...streams) })
  return { rows, restored, log, abort }
}

function buildStream (n: number, softwareVersion = 'v1'): PooledStream {
  return { key: computeStreamKey('org', 'p', `r${n}`), pool: 'p', softwareVersion }
}

async function runWithClock (run: (clock: Clock) => Promise<void>): Promise<void> {
  const clock = install({ now: 1_000_000_000 })
  try {
    await run(clock)
  } finally {
    clock.uninstall()
  }
}

test.serial('a VM that starts reads the streams of its earlier incarnations and leaves their rows in place', async t => {
  await runWithClock(async clock => {
    const platform = new MemoryPlatform()
    const first = openRows(platform, 'vm-1', 'a')
    const other = openRows(platform, 'vm-10', 'b')
    for (let n = 0; n < 3; n++) first.rows.store(buildStream(n, `v${n % 2}`))
    other.rows.store(buildStream(9))
    await clock.tickAsync(1_000)
    first.abort.abort()
    const second = openRows(platform, 'vm-1', 'c')
    await second.rows.restore()
    t.deepEqual(second.restored.map(({ softwareVersion }) => softwareVersion), ['v0', 'v0', 'v1'])
    t.deepEqual(second.restored.map(({ key }) => key).sort(), [0, 1, 2].map(n => buildStream(n).key).sort())
    second.rows.store(buildStream(4))
    await clock.tickAsync(1_000)
    t.deepEqual(platform.listKeys(STREAM_TABLE).map(key => key.split('/').slice(0, 2).join('/')), ['vm-1/a', 'vm-1/c', 'vm-10/b'])
    other.abort.abort()
    second.abort.abort()
  })
})

// Guards against first events that all wait for a store that is known to be away.
test.serial('streams do not wait for the store while writes fail', async t => {
  await runWithClock(async clock => {
    const platform = new MemoryPlatform()
    let isAway = true
    const transact: Platform['transact'] = async transaction => {
      if (isAway) throw new Error('The store is away.')
      return await platform.transact(transaction)
    }
    const { rows, abort } = openRows({ ...platform, transact }, 'vm-1', 'a')
    const measureWaitMs = async (n: number) => {
      const startedAtMs = performance.now()
      const stored = rows.store(buildStream(n)).then(() => performance.now() - startedAtMs)
      await clock.tickAsync(1_000)
      return await stored
    }
    t.true(await measureWaitMs(1) > 0)
    t.is(await measureWaitMs(2), 0)
    isAway = false
    await clock.tickAsync(1_000)
    t.true(await measureWaitMs(3) > 0)
    abort.abort()
    const restarted = openRows(platform, 'vm-1', 'b')
    await restarted.rows.restore()
    restarted.abort.abort()
    t.is(restarted.restored.length, 3)
  })
})

// Guards against streams of a row that another writer or another build has made unreadable.
test.serial('a row that cannot be read is logged and ignored', async t => {
  const platform = new MemoryPlatform()
  platform.put(STREAM_TABLE, 'vm-1/a/1', { writtenAtMs: 1, groups: [{ pool: 'p', softwareVersion: 'v1', keys: 'AAAA' }] })
  platform.put(STREAM_TABLE, 'vm-1/a/2', 'none')
  platform.put(STREAM_TABLE, 'vm-1/a/3', encodeStreamRow([buildStream(1)], Date.now()))
  const { rows, restored, log, abort } = openRows(platform, 'vm-1', 'b')
  await rows.restore()
  abort.abort()
  t.deepEqual(restored, [buildStream(1)])
  t.deepEqual(log.decisions.map(({ type }) => type), ['rowUnreadable', 'rowUnreadable', 'streamsRestored'])
})

test.serial('rows of VMs that do not come back are removed after ten minutes', async t => {
  const platform = new MemoryPlatform()
  for (let n = 0; n < 120; n++) platform.put(STREAM_TABLE, `vm-${n}/a/1`, encodeStreamRow([buildStream(n)], Date.now() - (n % 2 === 0 ? 601_000 : 500_000)))
  await sweepStreamRows(platform, new RecordingLog())
  t.is(platform.listKeys(STREAM_TABLE).length, 60)
})

test.serial('rows of another VM are read once in a while however many streams are asked for', async t => {
  await runWithClock(async clock => {
    const platform = new MemoryPlatform()
    platform.put(STREAM_TABLE, 'vm-2/a/1', encodeStreamRow([buildStream(1)], 0))
    const reader = new StreamRowReader({ platform, decisionLog: new RecordingLog(), signal: new AbortController().signal, countVms: () => 8 })
    const found = Promise.all(Array.from({ length: 50 }, async (_, n) => await reader.find('vm-2', buildStream(n).key)))
    await clock.tickAsync(100)
    t.deepEqual((await found).filter(version => version !== null), ['v1'])
    t.is(platform.scanCount, 1)
  })
})

test.serial('all VMs together stay within the rate of reads', async t => {
  await runWithClock(async clock => {
    const platform = new MemoryPlatform()
    const readers = Array.from({ length: 400 }, () => new StreamRowReader({ platform, decisionLog: new RecordingLog(), signal: new AbortController().signal, countVms: () => 400 }))
    for (let ms = 0; ms < 10_000; ms += 100) {
      for (const reader of readers) reader.find(`vm-${ms % 3_000}`, buildStream(ms).key).catch(() => {})
      await clock.tickAsync(100)
    }
    t.true(platform.scanCount <= 200 * 10 + 400, `${platform.scanCount} reads in 10 s`)
  })
})

// Guards against writes that grow with the number of VMs beyond what the store accepts.
test.serial('400 VMs stay within the limits of the store', async t => {
  const cost = await measureStreamRows({ vms: 400, dataCentres: 15, streamsPerS: 13_000, durationS: 5 })
  t.log(JSON.stringify(cost))
  t.true(cost.writesPerS <= 220)
  t.true(cost.maxWritesInOneSecond <= 300)
  t.true(cost.maxRowBytes <= 32_768)
  t.true(cost.maxEntries <= 100)
  t.true(cost.meanDelayMs <= 500)
})
