import { setMaxListeners } from 'node:events'
import { install } from '@sinonjs/fake-timers'
import { computeStreamKey, selectStreamWriters } from 'knapweedshunt-attempts'
import { createRng } from 'knapweedshunt-utils'
import { STREAM_TABLE } from '../peers/streamRow.ts'
import { StreamRows } from '../peers/streamRows.ts'
import { DecisionLog } from '../records/decisionLog.ts'
import { GatewayMetrics } from '../records/gatewayMetrics.ts'
import { MemoryPlatform } from './memoryPlatform.ts'

/** Number of writers that store a stream. */
const COPIES = 2

const RETENTION_MS = 18_000
const STEP_MS = 10
const SAMPLE_MS = 700
const MS_PER_SECOND = 1_000
const LOG = { debug () {}, info () {}, warn () {}, error () {} }

/** A deployment whose pools have several software versions all the time. */
export interface StreamRowsLoad {
  vms: number
  dataCentres: number
  streamsPerS: number
  durationS: number
}

/** What the VMs together ask of the store, and how much of what they hold it lacks. */
export interface StreamRowsCost extends StreamRowsLoad {
  writesPerS: number
  maxWritesInOneSecond: number
  /** Of the rows' values as JSON. */
  writtenBytesPerS: number
  maxRowBytes: number
  maxEntries: number
  writers: number
  rows: number
  /** Mean time until a copy of a stream is written, in milliseconds. */
  meanDelayMs: number
}

/** Runs the rows of all VMs under a steady load, on the fake clock. */
export async function measureStreamRows (load: StreamRowsLoad): Promise<StreamRowsCost> {
  const clock = install()
  try {
    return await runLoad(load, async ms => { await clock.tickAsync(ms) })
  } finally {
    clock.uninstall()
  }
}

async function runLoad (load: StreamRowsLoad, tick: (ms: number) => Promise<void>): Promise<StreamRowsCost> {
  const platform = new MemoryPlatform()
  const abort = new AbortController()
  setMaxListeners(0, abort.signal)
  const rng = createRng(1)
  const decisionLog = new DecisionLog(LOG)
  const candidates = Array.from({ length: load.vms }, (_, n) => ({ vm: `vm-${n}`, dataCentre: `z${n % load.dataCentres}` }))
  const writers = selectStreamWriters(candidates)
  const rows = writers.map(({ vm }) => new StreamRows({
    platform,
    vm,
    incarnation: 'a',
    decisionLog,
    metrics: new GatewayMetrics(),
    signal: abort.signal,
    randomizeDelayMs: meanMs => meanMs * (0.5 + rng.drawFloat()),
    isSweeper: () => false,
    getRetentionMs: () => RETENTION_MS,
    countVms: () => load.vms,
    onRestored: () => {}
  }))
  let [streams, copies, unwrittenSum, samples] = [0, 0, 0, 0]
  for (let ms = 0; ms < load.durationS * MS_PER_SECOND; ms += STEP_MS) {
    for (; streams < load.streamsPerS * ms / MS_PER_SECOND; streams++) {
      const key = computeStreamKey('org', 'p', `r${streams}`)
      for (let copy = 0; copy < COPIES; copy++, copies++) rows[(streams + copy * rng.drawInt(rows.length - 1) + copy) % rows.length].store({ key, pool: 'p', softwareVersion: `v${streams % 2}` })
    }
    await tick(STEP_MS)
    for (const one of rows) one.update()
    if (ms % SAMPLE_MS !== 0) continue
    samples++
    unwrittenSum += copies - platform.addedStreams
  }
  abort.abort()
  const perS = (count: number) => Math.round(count / load.durationS)
  return {
    ...load,
    writesPerS: perS(platform.writeCount),
    maxWritesInOneSecond: platform.maxWritesInOneSecond,
    writtenBytesPerS: perS(platform.writtenBytes),
    maxRowBytes: platform.maxRowBytes,
    maxEntries: platform.maxEntries,
    writers: writers.length,
    rows: platform.listKeys(STREAM_TABLE).length,
    // By Little's law: what is not written, divided by the rate.
    meanDelayMs: Math.round(unwrittenSum / samples / copies * load.durationS * MS_PER_SECOND)
  }
}
