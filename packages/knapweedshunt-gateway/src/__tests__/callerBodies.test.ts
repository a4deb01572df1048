import http from 'node:http'
import { queryObjects } from 'node:v8'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { sleep } from 'knapweedshunt-utils'
import { BodyReadAhead } from '../callers/bodyReadAhead.ts'
import { BoundedBody } from '../callers/boundedBody.ts'
import { CallerMemory, FIRST_PART_BYTES } from '../callers/callerMemory.ts'
import { readRequestBody } from '../callers/readRequestBody.ts'
import type { RequestBody } from '../endpoints/attempt.ts'

const LIMITS = { maxBytes: 1024 * 1024, idleTimeoutMs: 2_000 }
const MAX_KEPT_BYTES = 1024 * 1024
const FIRST_PARTS_BYTES = 6 * 1024 * 1024
const LONG_BYTES = 150_000
const LONG_COUNT = 24

type StreamedBody = Extract<RequestBody, { type: 'streamed' }>

/** Reads the bodies of requests as a VM does, and answers when `finish` is called. */
class BodyReader {
  readonly memory = new CallerMemory({ keptBytes: MAX_KEPT_BYTES, firstPartBytes: FIRST_PARTS_BYTES })
  readonly bodies: RequestBody[] = []
  errorCount = 0
  readonly #agent = new http.Agent()
  readonly #responses: http.ServerResponse[] = []
  readonly #server = http.createServer((request, response) => {
    this.#responses.push(response)
    readRequestBody(request, LIMITS, { readAhead: new BodyReadAhead(16 * 1024 * 1024), memory: this.memory, hasKnownKey: true }).then(body => this.bodies.push(body), () => { this.errorCount++ })
  })

  async start (t: ExecutionContext): Promise<this> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    t.teardown(() => {
      for (const response of this.#responses) response.end()
      this.#agent.destroy()
      this.#server.close()
      this.#server.closeAllConnections()
    })
    return this
  }

  send (body: string, declaredBytes = body.length): http.ClientRequest {
    const { port } = this.#server.address() as { port: number }
    const request = http.request({ host: '127.0.0.1', port, method: 'POST', agent: this.#agent, headers: { 'Content-Length': declaredBytes } })
    request.on('error', () => {})
    request.write(body)
    return request
  }

  async waitForBodies (count: number): Promise<void> {
    for (let i = 0; i < 300 && this.bodies.length + this.errorCount < count; i++) await sleep(10)
  }
}

function buildText (n: number): string {
  return String(n % 10).repeat(LONG_BYTES)
}

async function readStreamed ({ firstChunks, rest }: StreamedBody): Promise<string> {
  const chunks = [...firstChunks]
  for await (const chunk of rest) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString()
}

// Guards against a VM whose memory is used up by the bodies of many callers, and against small requests that lose their retries for it.
test('bodies that are read before they are sent share their memory; others are streamed whole', async t => {
  const reader = await new BodyReader().start(t)
  for (let n = 0; n < LONG_COUNT; n++) reader.send(buildText(n)).end()
  await reader.waitForBodies(LONG_COUNT)
  t.is(reader.bodies.length, LONG_COUNT)
  const buffered = reader.bodies.filter(body => body.type === 'buffered')
  const streamed = reader.bodies.filter(body => body.type === 'streamed')
  t.true(buffered.length > 0)
  t.true(buffered.length * LONG_BYTES <= MAX_KEPT_BYTES, `${buffered.length} bodies kept whole`)
  t.is(streamed.length, LONG_COUNT - buffered.length)
  reader.send('x'.repeat(FIRST_PART_BYTES)).end()
  await reader.waitForBodies(LONG_COUNT + 1)
  t.is(reader.bodies.at(-1)?.type, 'buffered')
  for (const body of streamed) {
    const text = await readStreamed(body)
    t.true(text.length === LONG_BYTES && text === text[0].repeat(LONG_BYTES))
  }
  for (const body of reader.bodies) if (body.type !== 'none') body.release()
  t.is(reader.memory.takenBytes, 0)
})

// Guards against memory of bodies whose callers leave, or that are too long, which is never given back.
test('a body that is not read to its end gives its memory back', async t => {
  const reader = await new BodyReader().start(t)
  const request = reader.send(buildText(1), 2 * LONG_BYTES)
  for (let i = 0; i < 100 && reader.memory.takenBytes === 0; i++) await sleep(10)
  t.true(reader.memory.takenBytes > 0)
  request.destroy()
  await reader.waitForBodies(1)
  t.is(reader.errorCount, 1)
  t.is(reader.memory.takenBytes, 0)
})

// Guards against bodies that have given their memory back and are still kept, as long as the connections of their callers stay open.
test.serial('a streamed body that was given up is not kept by its request', async t => {
  const reader = await new BodyReader().start(t)
  const request = reader.send('x'.repeat(400_000), 500_000)
  await reader.waitForBodies(1)
  t.is(queryObjects(BoundedBody), 1)
  // A variable of this function would keep the body.
  const release = () => (reader.bodies.pop() as StreamedBody).release()
  release()
  await sleep(100)
  t.is(queryObjects(BoundedBody), 0)
  t.false(request.destroyed)
})
