import test from 'ava'
import type { ExecutionContext } from 'ava'
import { startUnframedServer, UNFRAMED_END } from 'knapweedshunt-fakes'
import type { UnframedAnswer, UnframedServer } from 'knapweedshunt-fakes'
import { createPlatformClient, PlatformUnreachableError } from '../index.ts'

const TIMEOUT_MS = 10_000
const TRANSACTION = { checks: [], writes: [] }

async function startServer (t: ExecutionContext, answer: UnframedAnswer): Promise<UnframedServer> {
  const server = await startUnframedServer(answer)
  t.teardown(() => server.stop())
  return server
}

for (const end of [UNFRAMED_END.resetAtOnce, UNFRAMED_END.resetLater]) {
  // Guards against a row, rows or an outcome that are undefined because the connection was reset before the first byte of the body.
  test(`an answer of the platform that is reset is no answer: ${end}`, async t => {
    const client = createPlatformClient({ url: (await startServer(t, { body: '', end })).url, timeoutMs: TIMEOUT_MS })
    await t.throwsAsync(client.read('t', 'k'), { instanceOf: PlatformUnreachableError })
    await t.throwsAsync(client.scan({ table: 't', limit: 1 }), { instanceOf: PlatformUnreachableError })
    await t.throwsAsync(client.transact(TRANSACTION), { instanceOf: PlatformUnreachableError })
  })
}

for (const end of [UNFRAMED_END.closed, UNFRAMED_END.halfClosed, UNFRAMED_END.closedThenReset]) {
  // Guards against a committed transaction that counts as lost because its connection was reset after a regular end.
  test(`an answer of the platform that ends regularly is taken once: ${end}`, async t => {
    const server = await startServer(t, { body: '{"type":"committed"}', end })
    t.deepEqual(await createPlatformClient({ url: server.url, timeoutMs: TIMEOUT_MS }).transact(TRANSACTION), { type: 'committed' })
    t.is(server.requests, 1)
  })
}
