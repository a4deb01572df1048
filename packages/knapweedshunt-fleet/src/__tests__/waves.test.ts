import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { planWave } from '../waves/planWave.ts'
import { DEFAULT_WAVE_OPTIONS } from '../waves/waveOptions.ts'
import { WaveTask } from '../waves/waveTask.ts'
import type { WaveEndpoint, WaveNotice, WaveOrder, WaveReport } from '../waves/waveTypes.ts'

const LOG = { debug () {}, info () {}, warn () {}, error () {} }

function buildEndpoint (n: number, version: number, running = 0): WaveEndpoint {
  return { endpoint: `e${n}`, incarnation: `e${n}@1`, pool: 'p', model: 'm', version, running }
}

const INPUT = { target: 2, ordered: [], draining: [], resting: [], sinceOrderMs: Infinity, parallelShare: 0.2 }

test('a part at a time, oldest and least busy first', t => {
  const endpoints = [buildEndpoint(1, 1, 9), buildEndpoint(2, 1, 0), buildEndpoint(3, 0, 5), buildEndpoint(4, 2), buildEndpoint(5, 1, 1), buildEndpoint(6, 1, 2)]
  const plan = planWave({ ...INPUT, endpoints })
  t.deepEqual(plan.order, ['e3', 'e2'])
  t.deepEqual(plan.reached, ['e4'])
})

test('as many more may wait for their requests, no further ones', t => {
  const endpoints = [1, 2, 3, 4, 5, 6, 7, 8].map(n => buildEndpoint(n, 1))
  t.is(planWave({ ...INPUT, endpoints, ordered: ['e1', 'e2'], draining: [] }).order.length, 2)
  t.is(planWave({ ...INPUT, endpoints, ordered: ['e1', 'e2'], draining: ['e1', 'e2'] }).order.length, 0)
  t.is(planWave({ ...INPUT, endpoints, ordered: ['e1', 'e2', 'e3', 'e4'], draining: [] }).order.length, 0)
})

test('endpoints given up for now are left alone', t => {
  t.deepEqual(planWave({ ...INPUT, endpoints: [buildEndpoint(1, 1), buildEndpoint(2, 1)], resting: ['e1'] }).order, ['e2'])
})

interface Given { vm: string, atMs: number, order: WaveOrder }

/** Endpoints and VMs under the fake clock. */
class World {
  readonly platform = new MemoryPlatform()
  readonly versions = new Map<string, number>()
  readonly taken = new Map<string, number>()
  readonly busy = new Set<string>()
  readonly given: Given[] = []
  readonly aborts = new Map<string, AbortController>()
  readonly cut = new Set<string>()
  notice: { notice: WaveNotice, atMs: number } | null = null
  wished = 1
  /** Orders that are carried out so much later, without an answer, in milliseconds. */
  lateMs = 0
  /** Questions to endpoints that were given no order yet. */
  askedBefore = 0

  constructor (endpoints: number) {
    for (let n = 0; n < endpoints; n++) this.versions.set(`e${n}`, 1)
  }

  start (vm: string, rank: number): void {
    const abort = new AbortController()
    this.aborts.set(vm, abort)
    const { platform } = this
    const guard = <T>(call: () => Promise<T>): Promise<T> => this.cut.has(vm) ? Promise.reject(new Error('cut')) : call()
    const task = new WaveTask({
      vm,
      incarnation: vm,
      platform: { ...platform, read: (table, key) => guard(() => platform.read(table, key)), transact: change => guard(() => platform.transact(change)), scan: request => platform.scan(request), getObject: async () => null, putObject: async () => {}, listVms: async () => [] },
      log: LOG,
      ports: {
        listEndpoints: () => [...this.versions].map(([name, version]) => ({ ...buildEndpoint(Number(name.slice(1)), version) })),
        listGoals: () => [{ model: 'm', version: this.wished }],
        readReport: async name => this.#readReport(name, { version: this.versions.get(name) ?? null, isBusy: this.busy.has(name), ordersTaken: this.taken.get(name) ?? 0, running: 0 }),
        sendOrder: order => this.#takeOrder(vm, order),
        announce: notice => guard(async () => { this.notice = { notice, atMs: performance.now() } }),
        readNotice: () => this.notice === null ? null : { notice: this.notice.notice, ageMs: performance.now() - this.notice.atMs },
        readRank: () => rank,
        record: () => {},
        noteReached: () => {}
      }
    })
    task.run(abort.signal, () => false).catch(() => {})
  }

  #readReport (name: string, report: WaveReport): WaveReport {
    if (!this.given.some(given => given.order.endpoint === name)) this.askedBefore++
    return report
  }

  async #takeOrder (vm: string, order: WaveOrder) {
    this.given.push({ vm, atMs: performance.now(), order })
    const run = (): 'taken' | 'conflict' => {
      if (this.busy.has(order.endpoint) || (this.taken.get(order.endpoint) ?? 0) !== order.ordersTaken) return 'conflict'
      this.taken.set(order.endpoint, order.ordersTaken + 1)
      this.busy.add(order.endpoint)
      setTimeout(() => { this.busy.delete(order.endpoint); this.versions.set(order.endpoint, order.version) }, 300)
      return 'taken'
    }
    if (this.lateMs === 0) return run()
    setTimeout(run, this.lateMs)
    return 'lost' as const
  }

  isAt (version: number): boolean {
    return [...this.versions.values()].every(one => one === version)
  }
}

async function run (endpoints: number, step: (world: World, clock: Clock) => Promise<void>): Promise<void> {
  const clock = install()
  const world = new World(endpoints)
  try {
    await step(world, clock)
  } finally {
    for (const abort of world.aborts.values()) abort.abort()
    await clock.tickAsync(1_000)
    clock.uninstall()
  }
}

/** Starts three VMs and lets them bring all endpoints to version 2. */
async function settle (world: World, clock: Clock): Promise<void> {
  for (const [rank, vm] of ['a', 'b', 'c'].entries()) world.start(vm, rank)
  world.wished = 2
  await clock.tickAsync(8_000)
}

test.serial('one VM gives all orders', async t => {
  await run(10, async (world, clock) => {
    await settle(world, clock)
    t.true(world.isAt(2))
    t.is(new Set(world.given.map(given => given.vm)).size, 1)
  })
})

test.serial('one question before an order to an idle endpoint', async t => {
  await run(10, async (world, clock) => {
    world.start('a', 0)
    world.wished = 2
    await clock.tickAsync(8_000)
    t.true(world.isAt(2))
    t.is(world.askedBefore, 10)
  })
})

test.serial('no work, no call', async t => {
  await run(4, async (world, clock) => {
    world.start('a', 0)
    await clock.tickAsync(10_000)
    t.is(world.platform.counts.reads + world.platform.counts.writes, 0)
  })
})

test.serial('holder cut off: another follows, never within the least time between holders', async t => {
  await run(12, async (world, clock) => {
    for (const [rank, vm] of ['a', 'b'].entries()) world.start(vm, rank)
    world.wished = 2
    await clock.tickAsync(1_500)
    const [{ vm: holder }] = world.given
    world.cut.add(holder)
    await clock.tickAsync(15_000)
    t.true(world.isAt(2))
    const last = Math.max(...world.given.filter(given => given.vm === holder).map(given => given.atMs))
    const first = Math.min(...world.given.filter(given => given.vm !== holder).map(given => given.atMs))
    t.true(first - last >= 3_000, `${first - last} ms between holders`)
    const fences = world.given.map(given => given.order.fencing)
    t.deepEqual(fences, [...fences].sort((a, b) => a - b))
  })
})

/** Time after which VMs no longer begin on weights that were replaced, in milliseconds: the users' bound of 6 s less what is kept for an endpoint's queue. */
const STALE_MS = 4_500

/** Time without work, in milliseconds; with the rest before it longer than the longest order. */
const IDLE_MS = 2_000

test.serial('last holder cut off long after its orders: new weights in time', async t => {
  await run(8, async (world, clock) => {
    await settle(world, clock)
    t.true(world.isAt(2))
    await clock.tickAsync(IDLE_MS)
    const sinceMs = performance.now()
    world.cut.add(world.given[0].vm)
    world.wished = 3
    await clock.tickAsync(STALE_MS)
    t.true(world.isAt(3), `first order after ${Math.round((world.given.find(given => given.order.version === 3)?.atMs ?? Infinity) - sinceMs)} ms`)
  })
})

test.serial('order carried out late does not bring old weights back', async t => {
  await run(3, async (world, clock) => {
    world.start('a', 0)
    world.lateMs = 4_000
    world.wished = 2
    await clock.tickAsync(900)
    world.lateMs = 0
    world.wished = 3
    await clock.tickAsync(12_000)
    t.true(world.isAt(3))
  })
})

test('defaults wait longer than a lease between holders', t => {
  t.true(DEFAULT_WAVE_OPTIONS.lease.longestOrderMs >= 3_000)
})
