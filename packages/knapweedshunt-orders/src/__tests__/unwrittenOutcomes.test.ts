import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { DEFAULT_ORDER_OPTIONS, ORDER_TRANSITION_TABLE, OrderService } from 'knapweedshunt-orders'
import type { OrderDispatcher, OrderReply } from 'knapweedshunt-orders'
import { sleep } from 'knapweedshunt-utils'

const MAX_UNWRITTEN_CHARS = 64 * 1024
const ANSWER = 'x'.repeat(4_096)
const WAIT_MS = 10_000

interface Harness {
  memory: MemoryPlatform
  service: OrderService
  sent: string[]
  place (): Promise<{ ticket: string, reply: OrderReply }>
  run (ticket: string): Promise<OrderReply>
}

function startHarness (): Harness {
  const memory = new MemoryPlatform()
  const sent: string[] = []
  const peers = { sendHandover: async () => false, findTicket: async () => null }
  const bounds = { ...DEFAULT_ORDER_OPTIONS, maxUnwrittenChars: MAX_UNWRITTEN_CHARS, backoff: { initialDelayMs: 5, maxDelayMs: 20 } }
  const service = new OrderService({ incarnation: 'i', getPeerUrl: () => 'http://127.0.0.1:1', platform: memory, sharedKey: 'shared', peers, bounds, table: ORDER_TRANSITION_TABLE })
  const run = (ticket: string) => {
    const dispatcher: OrderDispatcher = {
      send: (attempt, _again, emit) => {
        sent.push(ticket)
        emit({ type: 'placed', attempt, canResend: false })
        queueMicrotask(() => emit({ type: 'answered', attempt, answer: { status: 200, contentType: 'text/plain', body: ANSWER } }))
      },
      cancel: () => {}
    }
    return service.runTicket({ organisation: 'o', ticket, digest: 'd', deadlineAtMs: performance.now() + WAIT_MS, dispatcher })
  }
  const place = async () => {
    const { ticket } = await service.mintTicket('o')
    return { ticket, reply: await run(ticket) }
  }
  return { memory, service, sent, place, run }
}

test('unwritten outcomes are bounded during an outage of the tables, and a refused order runs nowhere', async t => {
  const { memory, service, sent, place, run } = startHarness()
  memory.faults.down = true
  const placed: Array<Awaited<ReturnType<Harness['place']>>> = []
  do placed.push(await place()); while (placed.at(-1)?.reply.type === 'ran' && placed.length < 100)
  const refused = placed.at(-1)
  t.is(refused?.reply.type, 'unreadable')
  t.false(sent.includes(refused?.ticket ?? ''))
  t.true(service.countPending().unwritten * ANSWER.length < MAX_UNWRITTEN_CHARS + ANSWER.length)
  t.is((await run(placed[0].ticket)).type, 'ran', 'an unwritten outcome is still returned')
  t.is(sent.filter(ticket => ticket === placed[0].ticket).length, 1)

  memory.faults.down = false
  const untilMs = performance.now() + WAIT_MS
  while (service.countPending().unwritten > 0 && performance.now() < untilMs) await sleep(10)
  t.is(service.countPending().unwritten, 0)
  t.is((await run(refused?.ticket ?? '')).type, 'ran')
  t.is(sent.filter(ticket => ticket === refused?.ticket).length, 1)
  await service.close()
})
