import FakeTimers from '@sinonjs/fake-timers'
import { ORDER_TRANSITION_TABLE } from 'knapweedshunt-orders'
import { sleep } from 'knapweedshunt-utils'
import { SimWorld } from './simWorld.ts'

const ORDERS = 40
const ORDER_INTERVAL_MS = 100
const TICK_MS = 1_000
const MAX_TICKS = 60

/** Numbers of orders served while the tables are unavailable throughout. */
export interface OutageReport {
  orders: number
  /** Orders under the callers' own keys that ran; 0 is expected, as they cannot be claimed. */
  servedOwnKey: number
  /** Orders under tickets that ran. */
  servedTicket: number
  /** Tickets whose minter crashed between minting and use. */
  minterDied: number
  violations: string[]
}

/** Places orders during a complete outage of the tables. With `crash`, one router crashes between minting a ticket and its use. */
export async function runOutage (seed: number, crash: boolean): Promise<OutageReport> {
  const clock = FakeTimers.install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'] })
  try {
    const world = new SimWorld(seed, [], ORDER_TRANSITION_TABLE)
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
  const minter = world.pickRouter()
  if (minter === null) return
  const { ticket } = await minter.runInProcess(service => service.mintTicket(organisation))
  if (crash && i === ORDERS / 2) minter.crash()
  if (!minter.isAlive) report.minterDied++
  const runner = world.pickRouter()
  if (runner === null) return
  const own = await world.place(runner, { organisation, credential: { type: 'key', key: `key-${i}` }, name: `key-${i}` })
  if (own?.type === 'ran') report.servedOwnKey++
  const ticketed = await world.place(runner, { organisation, credential: { type: 'ticket', ticket }, name: `ticket-${i}` })
  if (ticketed?.type === 'ran') report.servedTicket++
}
