import http from 'node:http'
import net from 'node:net'
import type { AddressInfo } from 'node:net'
import { createRpcClient, createRpcHandler } from 'knapweedshunt-rpc'
import { requestJson, createIncarnation, listen } from 'knapweedshunt-utils'

/** Overhead of HTTP on top of message bodies and decisions. */
export interface HttpCosts {
  /** Bytes of a JSON-RPC request and of its answer without params and result: headers and JSON-RPC envelope. */
  rpcRequestBytes: number
  rpcAnswerBytes: number
  /** Bytes of a request for an endpoint's load report. */
  loadRequestBytes: number
  /** Processor time of one JSON-RPC call with empty params and result, client and server together, in microseconds. */
  rpcUs: number
  /** Processor time of one load report request, client and a raw TCP server together, in microseconds. */
  loadUs: number
}

const CALL_COUNT = 3_000
const LOAD_BODY = JSON.stringify({ endpoint: 'language-1', incarnation: createIncarnation(), weightsVersion: 'w1', running: 3, queued: 0, queuedTokens: 0, atMs: 1 })

/** Measures the overhead with HTTP calls over the loopback interface. */
export async function measureHttp (): Promise<HttpCosts> {
  const sharedKey = createIncarnation()
  const server = http.createServer(createRpcHandler({ echo: () => ({}) }, sharedKey))
  const url = await listen(server, { host: '127.0.0.1', port: 0 })
  const client = createRpcClient({ url, sharedKey, timeoutMs: 5_000 })
  const rpcUs = await measureCalls(() => client.call('echo', {}))
  client.close()
  server.closeAllConnections()
  const answer = `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${LOAD_BODY.length}\r\n\r\n${LOAD_BODY}`
  const rawServer = await startRawServer(answer)
  const agent = new http.Agent({ keepAlive: true })
  const loadUs = await measureCalls(() => requestJson({ method: 'GET', url: `${rawServer.url}/manage/load`, timeoutMs: 5_000, agent }))
  const loadRequestBytes = rawServer.countFirstRequestBytes()
  agent.destroy()
  rawServer.close()
  const sizes = await measureRpcBytes(sharedKey)
  server.close()
  return { ...sizes, loadRequestBytes, rpcUs, loadUs }
}

async function measureCalls (call: () => Promise<unknown>): Promise<number> {
  for (let i = 0; i < CALL_COUNT / 4; i++) await call()
  const before = process.cpuUsage()
  for (let i = 0; i < CALL_COUNT; i++) await call()
  const { user, system } = process.cpuUsage(before)
  return (user + system) / CALL_COUNT
}

async function measureRpcBytes (sharedKey: string): Promise<{ rpcRequestBytes: number, rpcAnswerBytes: number }> {
  const body = JSON.stringify({ jsonrpc: '2.0', id: 1, result: {} })
  const server = http.createServer(createRpcHandler({ 'control.exchange': () => ({}) }, sharedKey))
  const url = await listen(server, { host: '127.0.0.1', port: 0 })
  const proxy = await startRawServer(`HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
  const client = createRpcClient({ url: proxy.url, sharedKey, timeoutMs: 5_000 })
  await client.call('control.exchange', {})
  const request = proxy.readFirstRequest()
  const rpcAnswerBytes = await sendAndMeasureAnswer(url, request)
  client.close()
  proxy.close()
  server.closeAllConnections()
  server.close()
  return { rpcRequestBytes: Buffer.byteLength(request) - '{}'.length, rpcAnswerBytes: rpcAnswerBytes - '{}'.length }
}

function sendAndMeasureAnswer (url: string, text: string): Promise<number> {
  return new Promise(resolve => {
    const socket = net.connect(Number(new URL(url).port), '127.0.0.1', () => socket.write(text))
    socket.once('data', data => {
      socket.destroy()
      resolve(data.length)
    })
  })
}

async function startRawServer (answer: string) {
  let firstRequest = ''
  const server = net.createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', data => {
      if (firstRequest === '') firstRequest = data.toString()
      socket.write(answer)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  return { url: `http://127.0.0.1:${port}`, readFirstRequest: () => firstRequest, countFirstRequestBytes: () => Buffer.byteLength(firstRequest), close: () => server.close() }
}
