import FakeTimers from '@sinonjs/fake-timers'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import type { OrderService } from 'knapweedshunt-orders'
import { createDispatcher, startService } from './startService.ts'

const ROUTERS = 8
const STORE_WRITES_PER_S = 300
const STORE_DELAY_MS = 2
const SECONDS = 10
const SETTLE_MS = 20_000
const STEP_MS = 1
const DEADLINE_MS = 10_000

/** Results at one arrival rate. Times are milliseconds of the simulated clock, with a table service that answers in 2 ms and allows 300 writes per second. */
export interface RateFigures {
  orders: number
  ran: number
  /** Orders that got no answer: refused, or not run before their deadline. */
  refused: number
  ordersPerWrite: number
  /** Time from arrival until the order may be sent. */
  claimP50Ms: number
  claimP99Ms: number
  /** Time from arrival to the answer, with an endpoint that answers at once. */
  addedP50Ms: number
  addedP99Ms: number
}

/** Places orders at a constant rate on eight routers that share the write rate of the table service. */
export async function measureRate (ratePerS: number, maxChanges: number): Promise<RateFigures> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'] })
  try {
    const memory = new MemoryPlatform()
    Object.assign(memory.faults, { delayMs: STORE_DELAY_MS, writesPerS: STORE_WRITES_PER_S })
    const services = Array.from({ length: ROUTERS }, (_, i) => startService({ memory, incarnation: `router-${i}`, maxChanges, writesPerS: STORE_WRITES_PER_S / ROUTERS }))
    const claimMs: number[] = []
    const addedMs: number[] = []
    const orders = ratePerS * SECONDS
    for (let placed = 0, ms = 0; placed < orders; ms += STEP_MS) {
      while (placed < orders && placed * 1_000 / ratePerS <= ms) placeOrder(services[placed % ROUTERS], placed++, claimMs, addedMs)
      await clock.tickAsync(STEP_MS)
    }
    await clock.tickAsync(SETTLE_MS)
    const ran = addedMs.length
    return {
      orders,
      ran,
      refused: orders - ran,
      ordersPerWrite: ran / memory.counts.writes,
      claimP50Ms: computeQuantile(claimMs, 0.5),
      claimP99Ms: computeQuantile(claimMs, 0.99),
      addedP50Ms: computeQuantile(addedMs, 0.5),
      addedP99Ms: computeQuantile(addedMs, 0.99)
    }
  } finally {
    clock.uninstall()
  }
}

async function placeOrder (service: OrderService, i: number, claimMs: number[], addedMs: number[]): Promise<void> {
  const startMs = performance.now()
  const dispatcher = createDispatcher(() => claimMs.push(performance.now() - startMs))
  const reply = await service.runOwnKey({ organisation: 'harbour-hotel', idempotencyKey: `order-${i}`, digest: 'digest', deadlineAtMs: startMs + DEADLINE_MS, dispatcher })
  if (reply.type === 'ran') addedMs.push(performance.now() - startMs)
}

function computeQuantile (values: number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted.length === 0 ? NaN : Math.round(sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] * 10) / 10
}
