import FakeTimers from '@sinonjs/fake-timers'
import type { OrderReply, OrderTransitionTable } from 'knapweedshunt-orders'
import { sleep } from 'knapweedshunt-utils'
import type { PlannedFault } from './faults.ts'
import { installProcessTimers } from './processTimers.ts'
import { SimWorld } from './simWorld.ts'
import type { SimOrder } from './simWorld.ts'

const START_MS = 1_700_000_000_000
const MAX_TRIES = 4
const MAX_TRIES_WITHOUT_FAULTS = 40
const RETRY_MS = 1_500
const SETTLE_MS = 45_000
const CALLER_WAIT_MS = 12_000
const OUTAGE_MS = 20_000
const TICK_MS = 1_000
const MAX_TICKS = 400
const ORGANISATIONS = ['harbour-hotel', 'rival-chain']

/** Which credentials the callers of a run use; `pinned` starts with the tables unavailable. */
export type Scenario = 'mixed' | 'own' | 'durable' | 'pinned'

/** Result of one simulated run. */
export interface SeedReport {
  violations: string[]
  /** Planned faults that were injected. */
  struck: string[]
  /** Type of the last reply to each order after all faults have ended. */
  ends: string[]
  placed: number
  ran: number
}

/** Runs callers under the planned faults, then ends all faults and checks that every order reaches a final reply. */
export async function runSeed (seed: number, plan: PlannedFault[], table: OrderTransitionTable, scenario: Scenario = 'mixed'): Promise<SeedReport> {
  const clock = FakeTimers.install({ now: START_MS, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] })
  const uninstallTimers = installProcessTimers()
  try {
    const world = new SimWorld(seed, plan, table)
    const report: SeedReport = { violations: world.oracle.violations, struck: world.struck, ends: [], placed: 0, ran: 0 }
    const run = { isOver: false }
    runCallers(world, report, scenario).catch(error => world.oracle.violations.push(`The run failed: ${String(error)}`)).finally(() => { run.isOver = true })
    for (let ticks = 0; !run.isOver && ticks < MAX_TICKS; ticks++) await clock.tickAsync(TICK_MS)
    if (!run.isOver) world.oracle.violations.push('The run did not end within its tick limit')
    return report
  } finally {
    uninstallTimers()
    clock.uninstall()
  }
}

async function runCallers (world: SimWorld, report: SeedReport, scenario: Scenario): Promise<void> {
  if (scenario === 'pinned') {
    world.memory.faults.down = true
    setTimeout(() => { world.memory.faults.down = false }, OUTAGE_MS)
  }
  const count = 1 + world.rng.drawInt(3)
  const orders: Array<Promise<SimOrder | null>> = []
  for (let i = 0; i < count; i++) orders.push(runCaller(world, i, scenario))
  const placed = (await Promise.all(orders)).filter(order => order !== null)
  world.endAllFaults()
  await sleep(SETTLE_MS)
  for (const order of placed) {
    report.placed++
    if (await checkFinalReply(world, order, report)) report.ran++
  }
}

/** Places one order with retries. The two organisations use the same keys, which must not interfere. */
async function runCaller (world: SimWorld, i: number, scenario: Scenario): Promise<SimOrder | null> {
  await sleep(world.rng.drawInt(50))
  const organisation = ORGANISATIONS[i % ORGANISATIONS.length]
  const isOwn = scenario === 'mixed' ? world.rng.drawInt(2) === 0 : scenario === 'own'
  const order = isOwn ? createOwnKeyOrder(organisation, 'key') : await createTicketOrder(world, organisation, i)
  if (order === null) return null
  world.onCallerElsewhere = router => { tryPlace(world, order, world.pickRouter(router)).catch(() => {}) }
  const caller = { gone: false }
  world.onCallerGone = () => { caller.gone = true }
  let nextRouter = world.pickRouter()
  for (let tries = 0; tries < MAX_TRIES && !caller.gone; tries++) {
    const reply = await tryPlace(world, order, nextRouter)
    if (reply !== null && isFinal(reply)) break
    await sleep(RETRY_MS)
    nextRouter = world.pickRouter(nextRouter ?? undefined)
  }
  return order
}

function createOwnKeyOrder (organisation: string, key: string): SimOrder {
  return { organisation, credential: { type: 'key', key }, name: `${organisation}/${key}` }
}

async function createTicketOrder (world: SimWorld, organisation: string, i: number): Promise<SimOrder | null> {
  const router = world.pickRouter()
  const minted = router === null ? null : await router.watch(router.runInProcess(service => service.mintTicket(organisation)))
  if (router === null || minted === null) return null
  const name = `${organisation}/${minted.type} ticket ${i}`
  if (minted.type === 'pinned') router.orders.add(name)
  if (minted.type === 'pinned' && !router.isAlive) world.oracle.markMayHaveRun(name)
  world.recordStep('minted', router)
  return { organisation, credential: { type: 'ticket', ticket: minted.ticket }, name }
}

/** Resolves to null when the caller gives up waiting after `CALLER_WAIT_MS`. */
async function tryPlace (world: SimWorld, order: SimOrder, router: ReturnType<SimWorld['pickRouter']>): Promise<OrderReply | null> {
  if (router === null) return null
  return Promise.race([world.place(router, order), sleep(CALLER_WAIT_MS).then(() => null)])
}

function isFinal (reply: OrderReply): boolean {
  return reply.type === 'ran' || reply.type === 'not-run' || reply.type === 'expired'
}

/** Without faults, an order must be answered, or run, or be not run and then run under a new key. `may-have-run` is accepted only when an attempt was interrupted. Returns whether it ran. */
async function checkFinalReply (world: SimWorld, order: SimOrder, report: SeedReport): Promise<boolean> {
  let reply: OrderReply | null = null
  for (let tries = 0; tries < MAX_TRIES_WITHOUT_FAULTS; tries++) {
    reply = await tryPlace(world, order, world.pickRouter())
    if (reply !== null && (isFinal(reply) || reply.type === 'may-have-run')) break
    await sleep(RETRY_MS)
  }
  const status = await readFinalStatus(world, order)
  const type = reply?.type ?? 'none'
  report.ends.push(type)
  if (reply !== null && isFinal(reply) && status !== null && isFinal(status) && status.type !== type) world.oracle.violations.push(`${order.name} got the reply ${type}, but its status is ${status.type}`)
  if (type === 'not-run') return checkReplacementOrder(world, order)
  if (type === 'ran') return true
  const isExcused = type === 'may-have-run' && world.oracle.mayHaveRun(order.name)
  if (!isExcused) world.oracle.violations.push(`${order.name} ended with the reply ${type}`)
  return false
}

async function readFinalStatus (world: SimWorld, order: SimOrder): Promise<OrderReply | null> {
  const router = world.pickRouter()
  return router === null ? null : world.readStatus(router, order)
}

async function checkReplacementOrder (world: SimWorld, order: SimOrder): Promise<boolean> {
  const replacement = createOwnKeyOrder(order.organisation, `again ${order.name}`)
  const reply = await tryPlace(world, replacement, world.pickRouter())
  if (reply?.type !== 'ran') world.oracle.violations.push(`${order.name} did not run when placed again under a new key: ${reply?.type ?? 'none'}`)
  return reply?.type === 'ran'
}
