import FakeTimers from '@sinonjs/fake-timers'
import type { OrderReply, OrderTable } from 'knapweedshunt-orders'
import { sleep } from 'knapweedshunt-utils'
import type { PlannedFault } from './faults.ts'
import { freezeTimers } from './ownTimers.ts'
import { SimWorld } from './simWorld.ts'
import type { SimOrder } from './simWorld.ts'

const START_MS = 1_700_000_000_000
const TRIES = 4
const HEALED_TRIES = 40
const RETRY_MS = 1_500
const SETTLE_MS = 45_000
const CALLER_WAIT_MS = 12_000
const OUTAGE_MS = 20_000
const TICK_MS = 1_000
const MAX_TICKS = 400
const ORGANISATIONS = ['harbour-hotel', 'rival-chain']

/** Which credentials the callers of a run use; `pinned` starts with the tables down. */
export type Scenario = 'mixed' | 'own' | 'durable' | 'pinned'

/** What one run showed. */
export interface SeedReport {
  violations: string[]
  /** Faults that struck. */
  struck: string[]
  /** Last reply to each order after healing. */
  ends: string[]
  placed: number
  ran: number
}

/** Runs callers under the planned faults, heals, and checks that every order comes to its end. */
export async function runSeed (seed: number, plan: PlannedFault[], table: OrderTable, scenario: Scenario = 'mixed'): Promise<SeedReport> {
  const clock = FakeTimers.install({ now: START_MS, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] })
  const thaw = freezeTimers()
  try {
    const world = new SimWorld(seed, plan, table)
    const report: SeedReport = { violations: world.oracle.violations, struck: world.struck, ends: [], placed: 0, ran: 0 }
    const run = { over: false }
    runCallers(world, report, scenario).catch(error => world.oracle.violations.push(`The run failed: ${String(error)}`)).finally(() => { run.over = true })
    for (let ticks = 0; !run.over && ticks < MAX_TICKS; ticks++) await clock.tickAsync(TICK_MS)
    if (!run.over) world.oracle.violations.push('The run did not end')
    return report
  } finally {
    thaw()
    clock.uninstall()
  }
}

async function runCallers (world: SimWorld, report: SeedReport, scenario: Scenario): Promise<void> {
  if (scenario === 'pinned') {
    world.memory.faults.down = true
    setTimeout(() => { world.memory.faults.down = false }, OUTAGE_MS)
  }
  const count = 1 + world.rng.int(3)
  const orders: Array<Promise<SimOrder | null>> = []
  for (let i = 0; i < count; i++) orders.push(runCaller(world, i, scenario))
  const placed = (await Promise.all(orders)).filter(order => order !== null)
  world.heal()
  await sleep(SETTLE_MS)
  for (const order of placed) {
    report.placed++
    if (await checkEnd(world, order, report)) report.ran++
  }
}

/** Two organisations use the same keys. */
async function runCaller (world: SimWorld, i: number, scenario: Scenario): Promise<SimOrder | null> {
  await sleep(world.rng.int(50))
  const organisation = ORGANISATIONS[i % ORGANISATIONS.length]
  const isOwn = scenario === 'mixed' ? world.rng.int(2) === 0 : scenario === 'own'
  const order = isOwn ? createOwnKey(organisation, 'key') : await createTicket(world, organisation, i)
  if (order === null) return null
  world.onElsewhere = router => { tryPlace(world, order, world.drawRouter(router)).catch(() => {}) }
  const caller = { gone: false }
  world.onCallerGone = () => { caller.gone = true }
  let last = world.drawRouter()
  for (let tries = 0; tries < TRIES && !caller.gone; tries++) {
    const reply = await tryPlace(world, order, last)
    if (reply !== null && isFinal(reply)) break
    await sleep(RETRY_MS)
    last = world.drawRouter(last ?? undefined)
  }
  return order
}

function createOwnKey (organisation: string, key: string): SimOrder {
  return { organisation, credential: { type: 'key', key }, name: `${organisation}/${key}` }
}

async function createTicket (world: SimWorld, organisation: string, i: number): Promise<SimOrder | null> {
  const router = world.drawRouter()
  const minted = router === null ? null : await router.watch(router.act(service => service.mintTicket(organisation)))
  if (router === null || minted === null) return null
  const name = `${organisation}/${minted.type} ticket ${i}`
  if (minted.type === 'pinned') router.orders.add(name)
  if (minted.type === 'pinned' && !router.alive) world.oracle.touch(name)
  world.takeStep('minted', router)
  return { organisation, credential: { type: 'ticket', ticket: minted.ticket }, name }
}

/** A caller waits so long, and hangs up. */
async function tryPlace (world: SimWorld, order: SimOrder, router: ReturnType<SimWorld['drawRouter']>): Promise<OrderReply | null> {
  if (router === null) return null
  return Promise.race([world.place(router, order), sleep(CALLER_WAIT_MS).then(() => null)])
}

function isFinal (reply: OrderReply): boolean {
  return reply.type === 'ran' || reply.type === 'not-run' || reply.type === 'expired'
}

/** With faults healed an order is answered, or runs, or may be placed again under a new key and runs. Returns whether it ran. */
async function checkEnd (world: SimWorld, order: SimOrder, report: SeedReport): Promise<boolean> {
  let reply: OrderReply | null = null
  for (let tries = 0; tries < HEALED_TRIES; tries++) {
    reply = await tryPlace(world, order, world.drawRouter())
    if (reply !== null && (isFinal(reply) || reply.type === 'may-have-run')) break
    await sleep(RETRY_MS)
  }
  const status = await readHealedStatus(world, order)
  const type = reply?.type ?? 'none'
  report.ends.push(type)
  if (reply !== null && isFinal(reply) && status !== null && isFinal(status) && status.type !== type) world.oracle.violations.push(`${order.name} was told ${type}, its status ${status.type}`)
  if (type === 'not-run') return checkAgain(world, order)
  if (type === 'ran') return true
  const isExcused = type === 'may-have-run' && world.oracle.isTouched(order.name)
  if (!isExcused) world.oracle.violations.push(`${order.name} ended as ${type}`)
  return false
}

async function readHealedStatus (world: SimWorld, order: SimOrder): Promise<OrderReply | null> {
  const router = world.drawRouter()
  return router === null ? null : world.readStatus(router, order)
}

async function checkAgain (world: SimWorld, order: SimOrder): Promise<boolean> {
  const again = createOwnKey(order.organisation, `again ${order.name}`)
  const reply = await tryPlace(world, again, world.drawRouter())
  if (reply?.type !== 'ran') world.oracle.violations.push(`${order.name} did not run when it was placed again: ${reply?.type ?? 'none'}`)
  return reply?.type === 'ran'
}
