import { createHash } from 'node:crypto'
import http from 'node:http'
import net from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { RouterProcess } from './routerProcess.ts'

const PLAY_MS = 3_000
const MAX_HEAP_MB = 96

/** Time within which sound requests must be answered, in milliseconds. */
const SOUND_TIMEOUT_MS = 5_000

const ACCESS_KEY = 'hotel-key'
const EVENT_STREAM = 'Content-Type: text/event-stream\r\n'
const TOKENS_PER_BLOCK = 2_000

type Reading = 'read' | 'not read'

/** Answers of a faulty endpoint: status, headers, and the blocks of the body, which go on without an end. */
interface EndlessForm {
  path: '/v1/completions' | '/v1/services/faulty'
  body: string
  status?: number
  headers?: string
  buildBlock (n: number): string
  headersOfCallers?: Record<string, string>
}

function splitIntoChunks (text: string): string {
  return [...text].map(char => `1\r\n${char}\r\n`).join('')
}

function frame (text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
}

function buildTokens (n: number, text: string): string {
  return Array.from({ length: TOKENS_PER_BLOCK }, (_, i) => `id: ${n * TOKENS_PER_BLOCK + i}\ndata: ${JSON.stringify({ text })}\n\n`).join('')
}

/** Keeps blocks, so that all connections share them. */
function keepBlocks (build: (n: number) => string): (n: number) => string {
  const blocks: string[] = []
  return n => {
    blocks[n] ??= build(n)
    return blocks[n]
  }
}

const CHUNK_COUNT = 10_000
const PLAIN = { path: '/v1/services/faulty', body: 'b' } as const
const STREAM = { path: '/v1/completions', headers: EVENT_STREAM, body: JSON.stringify({ model: 'm', prompt: 'p', stream: true }) } as const
const WHOLE = { ...STREAM, body: JSON.stringify({ model: 'm', prompt: 'p', stream: false }) } as const

function repeat (text: string): (n: number) => string {
  return keepBlocks(() => text.repeat(Math.ceil(CHUNK_COUNT * 6 / text.length)))
}

const SMALL_VALUES = Array(330_000).fill('{}').join()
const NESTED_VALUES = '['.repeat(400_000) + ']'.repeat(400_000)
const USAGE = '"usage":{"prompt_tokens":1,"completion_tokens":1,"prompt_tokens_details":{"cached_tokens":0}}'

const FORMS: Record<string, EndlessForm> = {
  'plain body': { ...PLAIN, buildBlock: repeat('1\r\nx\r\n') },
  'body of a 500': { ...STREAM, status: 500, buildBlock: repeat('1\r\nx\r\n') },
  'small events': { ...STREAM, buildBlock: repeat(splitIntoChunks('data: x\n\n')) },
  'one event': { ...STREAM, buildBlock: n => n === 0 ? splitIntoChunks('data: ') : repeat('1\r\nx\r\n')(0) },
  'one event of many lines': { ...STREAM, buildBlock: repeat(frame('data:xy\n'.repeat(500))) },
  'one event of many lines and comments': { ...STREAM, buildBlock: repeat(frame(`data:${'x'.repeat(13)}\n:${'c'.repeat(500)}\n`.repeat(10))) },
  comments: { ...STREAM, buildBlock: repeat(splitIntoChunks(':\n')) },
  tokens: { ...STREAM, buildBlock: keepBlocks(n => splitIntoChunks(buildTokens(n, 'xy'))) },
  'tokens in long chunks': { ...STREAM, buildBlock: keepBlocks(n => frame(buildTokens(n, 'xy'))) },
  'longer tokens in long chunks': { ...STREAM, buildBlock: keepBlocks(n => frame(buildTokens(n, 'x'.repeat(150)))) },
  'tokens of a completion in one piece': { ...WHOLE, buildBlock: keepBlocks(n => frame(buildTokens(n, 'xy'))) },
  'tokens of an order': { ...STREAM, headersOfCallers: { 'x-repeatable': 'false' }, buildBlock: keepBlocks(n => frame(buildTokens(n, 'xy'))) },
  'usage of small values': { ...STREAM, buildBlock: keepBlocks(() => frame(`data: {${USAGE},"a":[${SMALL_VALUES}]}\n\n`)) },
  'long tokens': { ...STREAM, buildBlock: n => frame(`id: ${n}\ndata: {"text":"${'x'.repeat(900_000)}"}\n\n`) },
  'tokens of nested values': { ...STREAM, buildBlock: n => frame(`id: ${n}\ndata: {"text":"x","a":${NESTED_VALUES}}\n\n`) }
}

async function startEndpoint (t: ExecutionContext, answer: (socket: net.Socket) => void): Promise<string> {
  const sockets: net.Socket[] = []
  const server = net.createServer(socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', bytes => { if (/^(POST|GET) \/(v1\/completions|faulty|sound)/.test(bytes.toString('latin1'))) answer(socket) })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  return `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`
}

function answerEndlessly ({ status = 200, headers = '', buildBlock }: EndlessForm, socket: net.Socket): void {
  let n = 0
  const writeOn = () => { while (!socket.destroyed && socket.write(buildBlock(n++))); }
  socket.write(`HTTP/1.1 ${status} OK\r\n${headers}Transfer-Encoding: chunked\r\n\r\n`)
  // The process of the test has to send sound requests too.
  socket.on('drain', () => setTimeout(writeOn, 1))
  writeOn()
}

function buildResources (faultyUrls: string[], soundUrl: string): unknown[] {
  const endpoint = (name: string, pool: string, url: string) => ({ kind: 'Endpoint', name, spec: { pool, url, dataCentre: 'dc-1', weight: 1, cacheBlocks: 10, checksFencing: false, checksIdempotencyKeys: false, draining: false } })
  const route = (name: string, match: object, pool: string) => ({ kind: 'Route', name, spec: { match, pool, repeatable: true, job: 'short', priorityClass: 'now', timeoutMs: PLAY_MS } })
  return [
    { kind: 'Organisation', name: 'hotel', spec: { weight: 1 } },
    { kind: 'AccessKey', name: 'hotel', spec: { organisation: 'hotel', keyHash: createHash('sha256').update(ACCESS_KEY).digest('hex') } },
    { kind: 'PriorityClass', name: 'now', spec: { rank: 0, enginePriority: 0 } },
    { kind: 'EndpointPool', name: 'faulty', spec: { type: 'service', floor: 0 } },
    { kind: 'EndpointPool', name: 'language', spec: { type: 'model', model: 'm', weightsVersion: 'w1', objective: 'tail', floor: 0 } },
    { kind: 'EndpointPool', name: 'sound', spec: { type: 'service', floor: 0 } },
    ...faultyUrls.flatMap((url, n) => [endpoint(`faulty-${n}`, 'faulty', url), endpoint(`language-${n}`, 'language', url)]),
    endpoint('sound-1', 'sound', soundUrl),
    route('faulty', { type: 'path', prefix: '/faulty' }, 'faulty'),
    route('sound', { type: 'path', prefix: '/sound' }, 'sound'),
    route('language', { type: 'model', model: 'm' }, 'language')
  ]
}

function callFaulty (t: ExecutionContext, callerUrl: string, { path, body, headersOfCallers = {} }: EndlessForm, reading: Reading, n: number): void {
  const { hostname, port } = new URL(callerUrl)
  const socket = net.connect(Number(port), hostname)
  t.teardown(() => socket.destroy())
  socket.on('error', () => {})
  const headers = { host: 'h', authorization: `Bearer ${ACCESS_KEY}`, 'content-type': 'application/json', 'content-length': body.length, 'idempotency-key': `key-${n}`, ...headersOfCallers }
  socket.write(`POST ${path} HTTP/1.1\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`)
  if (reading === 'read') socket.resume()
}

async function callSound (callerUrl: string): Promise<number | null> {
  const request = http.request(`${callerUrl}/v1/services/sound`, { method: 'POST', agent: false, headers: { authorization: `Bearer ${ACCESS_KEY}` }, signal: AbortSignal.timeout(SOUND_TIMEOUT_MS) })
  request.end('b')
  return await new Promise(resolve => {
    request.once('error', () => resolve(null))
    request.once('response', response => {
      response.resume()
      response.once('error', () => resolve(null))
      response.once('end', () => resolve(response.statusCode ?? null))
    })
  })
}

const CALLER_COUNT = 48
const MAX_HELD_UP_MS = 1_000

const PLAYS: Array<[string, Reading]> = [
  ['plain body', 'read'],
  ['body of a 500', 'read'],
  ['small events', 'read'],
  ['one event', 'read'],
  ['one event of many lines', 'read'],
  ['one event of many lines and comments', 'not read'],
  ['comments', 'read'],
  ['tokens', 'not read'],
  ['tokens in long chunks', 'read'],
  ['tokens in long chunks', 'not read'],
  ['longer tokens in long chunks', 'read'],
  ['tokens of a completion in one piece', 'read'],
  ['tokens of an order', 'not read'],
  ['usage of small values', 'read'],
  ['long tokens', 'read'],
  ['long tokens', 'not read'],
  ['tokens of nested values', 'read']
]

for (const [name, reading] of PLAYS) {
  // Guards against a response that costs objects and processor time for each of its chunks, events or tokens: the router runs out of memory or stands still.
  test.serial(`answers without an end leave the router alive and fast: ${name}, ${reading}`, async t => {
    const form = FORMS[name]
    const faultyUrls = await Promise.all([0, 1, 2].map(() => startEndpoint(t, socket => answerEndlessly(form, socket))))
    const soundUrl = await startEndpoint(t, socket => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound'))
    const router = await RouterProcess.start({ resources: buildResources(faultyUrls, soundUrl), maxHeapMb: MAX_HEAP_MB })
    t.teardown(() => router.stop())
    const { callerUrl } = router.report
    t.is(await callSound(callerUrl), 200)
    for (let n = 0; n < CALLER_COUNT; n++) callFaulty(t, callerUrl, form, reading, n)
    const statuses: Array<number | null> = []
    const delaysMs: number[] = []
    for (const endMs = performance.now() + PLAY_MS; performance.now() < endMs && router.isRunning; await sleep(20)) {
      const startedAtMs = performance.now()
      statuses.push(await callSound(callerUrl))
      delaysMs.push(performance.now() - startedAtMs)
    }
    const { mostHeapMb, mostBuffersMb, mostResidentMb, mostHeldUpMs } = router.report
    t.log(`heap ${mostHeapMb.toFixed(0)} MB, buffers ${mostBuffersMb.toFixed(1)} MB, resident ${mostResidentMb.toFixed(0)} MB, held up ${mostHeldUpMs.toFixed(0)} ms, ${statuses.filter(status => status === 200).length} of ${statuses.length} sound, slowest ${Math.max(...delaysMs).toFixed(0)} ms`)
    t.true(router.isRunning)
    t.deepEqual(statuses.filter(status => status !== 200), [])
    t.true(mostHeldUpMs < MAX_HELD_UP_MS, `${mostHeldUpMs} ms`)
  })
}
