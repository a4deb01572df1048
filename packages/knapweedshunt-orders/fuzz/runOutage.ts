import FakeTimers from '@sinonjs/fake-timers'
import { ORDER_TABLE } from 'knapweedshunt-orders'
import { sleep } from 'knapweedshunt-utils'
import { SimWorld } from './simWorld.ts'

const ORDERS = 40
const ORDER_INTERVAL_MS = 100
const TICK_MS = 1_000
const MAX_TICKS = 60

/** Shares of orders served while the tables are down from first to last. */
export interface OutageReport {
  orders: number
  /** Under the callers' own keys: refused, all of them. */
  servedOwnKey: number
  /** Under tickets. */
  servedTicket: number
  /** Tickets whose minter was crashed between mint and use. */
  minterDied: number
  violations: string[]
}

/** Places orders in a whole outage; with `crash`, one router ends between minting and use. */
export async function runOutage (seed: number, crash: boolean): Promise<OutageReport> {
  const clock = FakeTimers.install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'] })
  try {
    const world = new SimWorld(seed, [], ORDER_TABLE)
    world.memory.faults.down = true
    const report: OutageReport = { orders: ORDERS, servedOwnKey: 0, servedTicket: 0, minterDied: 0, violations: world.oracle.violations }
    const all = Promise.all(Array.from({ length: ORDERS }, (_, i) => placeBoth(world, report, i, crash)))
    for (let ticks = 0; ticks < MAX_TICKS; ticks++) await clock.tickAsync(TICK_MS)
    await all
    return report
  } finally {
    clock.uninstall()
  }
}

async function placeBoth (world: SimWorld, report: OutageReport, i: number, crash: boolean): Promise<void> {
  await sleep(i * ORDER_INTERVAL_MS)
  const organisation = 'harbour-hotel'
  const minter = world.drawRouter()
  if (minter === null) return
  const { ticket } = await minter.act(service => service.mintTicket(organisation))
  if (crash && i === ORDERS / 2) minter.crash()
  if (!minter.alive) report.minterDied++
  const runner = world.drawRouter()
  if (runner === null) return
  const own = await world.place(runner, { organisation, credential: { type: 'key', key: `key-${i}` }, name: `key-${i}` })
  if (own?.type === 'ran') report.servedOwnKey++
  const ticketed = await world.place(runner, { organisation, credential: { type: 'ticket', ticket }, name: `ticket-${i}` })
  if (ticketed?.type === 'ran') report.servedTicket++
}
