import test from 'ava'
import { MemoryPlatform } from 'knapweedshunt-fakes'
import { DEFAULT_ORDER_OPTIONS, ORDER_TRANSITION_TABLE, OrderService } from 'knapweedshunt-orders'
import type { OrderDispatcher } from 'knapweedshunt-orders'
import { CLAIMS_TABLE, OUTCOMES_TABLE } from '../tableLedger.ts'

const DEADLINE_MS = 400

const ODD: Array<[string, unknown]> = [['nothing', undefined], ['null', null], ['text', 'x'], ['list', []], ['no fields', {}], ['odd fields', { state: 'claimed', digest: 1, nonce: [], owner: null, claimedAtMs: '1' }], ['nested', JSON.parse('['.repeat(50) + ']'.repeat(50))]]

function startService (): { memory: MemoryPlatform, sent: string[], run: (key: string) => Promise<string> } {
  const memory = new MemoryPlatform()
  const sent: string[] = []
  const peers = { sendHandover: async () => false, findTicket: async () => null }
  const bounds = { ...DEFAULT_ORDER_OPTIONS, backoff: { initialDelayMs: 5, maxDelayMs: 20 } }
  const service = new OrderService({ incarnation: 'i', getPeerUrl: () => 'http://127.0.0.1:1', platform: memory, sharedKey: 'shared', peers, bounds, table: ORDER_TRANSITION_TABLE })
  const run = async (idempotencyKey: string): Promise<string> => {
    const dispatcher: OrderDispatcher = {
      send: (attempt, _again, emit) => {
        sent.push(idempotencyKey)
        emit({ type: 'placed', attempt, canResend: false })
        queueMicrotask(() => emit({ type: 'answered', attempt, answer: { status: 200, contentType: 'text/plain', body: 'done' } }))
      },
      cancel: () => {}
    }
    return (await service.runOwnKey({ organisation: 'o', idempotencyKey, digest: 'd', deadlineAtMs: performance.now() + DEADLINE_MS, dispatcher })).type
  }
  return { memory, sent, run }
}

async function findKey (memory: MemoryPlatform, table: string): Promise<string> {
  const rows = await memory.scan({ table, limit: 10 })
  return rows[0].key
}

for (const [name, value] of ODD) {
  // Guards against a router that ends, and an order that runs twice, because another writer replaced the order's claim.
  test(`an order whose claim cannot be read is not sent again and not called unsent: ${name}`, async t => {
    const { memory, sent, run } = startService()
    t.is(await run('one'), 'ran')
    await memory.transact({ checks: [], writes: [{ type: 'put', table: CLAIMS_TABLE, key: await findKey(memory, CLAIMS_TABLE), value }] })
    const reply = await run('one')
    t.false(['ran', 'not-run', 'unknown'].includes(reply), reply)
    t.is(await run('two'), 'ran')
    t.deepEqual(sent, ['one', 'two'])
  })

  test(`an order whose outcome cannot be read is not sent again: ${name}`, async t => {
    const { memory, sent, run } = startService()
    t.is(await run('one'), 'ran')
    await memory.transact({ checks: [], writes: [{ type: 'put', table: OUTCOMES_TABLE, key: await findKey(memory, OUTCOMES_TABLE), value }] })
    const reply = await run('one')
    t.false(['ran', 'not-run', 'unknown'].includes(reply), reply)
    t.deepEqual(sent, ['one'])
  })
}
