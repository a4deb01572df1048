import http from 'node:http'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { closeServer, listen, requestJson } from 'knapweedshunt-utils'
import { createRpcClient } from '../rpcClient.ts'
import { RpcError } from '../rpcError.ts'
import { createRpcHandler, RPC_PATH } from '../rpcServer.ts'

const SMALL_VALUES: unknown[] = Array.from({ length: 1_000_000 }, () => [])
const LONG_TEXT = '[,]'.repeat(1_000_000)

async function startServer (t: ExecutionContext, handle: http.RequestListener): Promise<string> {
  const server = http.createServer(handle)
  const url = await listen(server, { host: '127.0.0.1', port: 0 })
  t.teardown(async () => {
    server.closeAllConnections()
    await closeServer(server)
  })
  return url
}

// Guards against a peer whose call within the limit of bytes ends the process, as its values take many times as much.
test('a call with many small values is refused before it is parsed', async t => {
  let callCount = 0
  const handle = createRpcHandler({ count: () => ++callCount }, 'key')
  const url = await startServer(t, (request, response) => { handle(request, response).catch(() => response.destroy()) })
  const call = async (params: unknown) => await requestJson({ method: 'POST', url: url + RPC_PATH, body: { jsonrpc: '2.0', id: 1, method: 'count', params }, headers: { authorization: 'Bearer key' }, timeoutMs: 10_000 })
  t.is((await call(SMALL_VALUES)).status, 413)
  t.is(callCount, 0)
  t.like(await call([LONG_TEXT]), { status: 200, body: { result: 1 } })
})

// Guards against a peer whose response does the same.
test('a response with many small values fails its call before it is parsed', async t => {
  const url = await startServer(t, (request, response) => {
    request.resume()
    response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify({ jsonrpc: '2.0', id: 1, result: SMALL_VALUES }))
  })
  const client = createRpcClient({ url, sharedKey: 'key', timeoutMs: 10_000 })
  t.teardown(() => client.close())
  const error = await t.throwsAsync(client.call('method', {}), { instanceOf: RpcError })
  t.regex(String((error?.cause as Error | undefined)?.stack), /no memory/)
})
