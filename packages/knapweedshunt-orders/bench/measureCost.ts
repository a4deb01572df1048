import { MemoryPlatform } from 'knapweedshunt-fakes'
import type { OrderService } from 'knapweedshunt-orders'
import { createDispatcher, startService } from './startService.ts'

const ORDERS = 5_000
const TICKETS = 20_000
const UNBOUNDED_PER_S = 1_000_000

/** CPU time and memory per order and ticket on one router. */
export interface CostFigures {
  /** CPU time of one durable order: claim, outcome, answer. */
  durableOrderUs: number
  /** CPU time of one pinned order: run, answer. */
  pinnedOrderUs: number
  /** Memory of a minted ticket that is not used yet. */
  unusedTicketBytes: number
  /** Memory of a ticket that ran during an outage: an outcome with a short answer, not yet written to the tables. */
  ranTicketBytes: number
}

/** Measures on the real clock, with in-memory tables in the same process. */
export async function measureCost (): Promise<CostFigures> {
  const memory = new MemoryPlatform()
  const durable = startService({ memory, incarnation: 'durable', maxChanges: 256, writesPerS: UNBOUNDED_PER_S })
  const durableOrderUs = await measureUs(ORDERS, i => runOwnKey(durable, i))
  memory.faults.down = true
  const pinned = startService({ memory, incarnation: 'pinned', maxChanges: 256, writesPerS: UNBOUNDED_PER_S })
  const tickets: string[] = []
  const unusedBytes = await measureBytes(async () => {
    for (let i = 0; i < TICKETS; i++) await pinned.mintTicket('harbour-hotel')
  })
  for (let i = 0; i < ORDERS; i++) tickets.push((await pinned.mintTicket('harbour-hotel')).ticket)
  let pinnedOrderUs = 0
  const ranBytes = await measureBytes(async () => {
    pinnedOrderUs = await measureUs(ORDERS, i => runTicket(pinned, tickets[i]))
  })
  memory.faults.down = false
  return { durableOrderUs, pinnedOrderUs, unusedTicketBytes: unusedBytes / TICKETS, ranTicketBytes: ranBytes / ORDERS }
}

async function measureUs (count: number, run: (i: number) => Promise<unknown>): Promise<number> {
  const start = process.cpuUsage()
  await Promise.all(Array.from({ length: count }, (_, i) => run(i)))
  const { user, system } = process.cpuUsage(start)
  return Math.round((user + system) / count * 10) / 10
}

async function measureBytes (work: () => Promise<void>): Promise<number> {
  const before = readHeapBytes()
  await work()
  return Math.round(readHeapBytes() - before)
}

function readHeapBytes (): number {
  globalThis.gc?.()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

function runOwnKey (service: OrderService, i: number): Promise<unknown> {
  return service.runOwnKey({ organisation: 'harbour-hotel', idempotencyKey: `order-${i}`, digest: 'digest', deadlineAtMs: performance.now() + 60_000, dispatcher: createDispatcher(() => {}) })
}

function runTicket (service: OrderService, ticket: string): Promise<unknown> {
  return service.runTicket({ organisation: 'harbour-hotel', ticket, digest: 'digest', deadlineAtMs: performance.now() + 60_000, dispatcher: createDispatcher(() => {}) })
}
