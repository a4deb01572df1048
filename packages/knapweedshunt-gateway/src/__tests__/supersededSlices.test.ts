import type http from 'node:http'
import { Readable } from 'node:stream'
import test from 'ava'
import { EventMemory } from '../flow/eventMemory.ts'
import { EventTurns } from '../flow/eventTurns.ts'
import { ForwardingTurns } from '../flow/forwardingTurns.ts'
import { StreamRelay } from '../flow/streamRelay.ts'
import type { CallerResponse } from '../shared/callerResponse.ts'

const EVENT_COUNT = 100
const RELAY_OPTIONS = { stallTimeoutMs: null, onStalled: () => {}, onChunk: () => {}, onNewEvents: () => {}, onFirstEvent: () => {}, onHeldTooMuch: () => {} }

function buildEvents (first: number, last: number): string {
  return Array.from({ length: last - first + 1 }, (_, n) => `id: ${first + n}\ndata: ${'x'.repeat(120)}\n\n`).join('')
}

function buildResponse (...texts: string[]): http.IncomingMessage {
  const stream = Readable.from(texts.map(text => Buffer.from(text)))
  return Object.assign(stream, { complete: true, headers: { 'content-type': 'text/event-stream' } }) as unknown as http.IncomingMessage
}

for (const microtasks of [0, 1, 2, 3, 4, 5, 6, 8, 10]) {
  // Guards against a stream with a gap: what is left of a chunk is written although another endpoint has taken over and what was held back is dropped.
  test(`nothing of a superseded stream is written, ${microtasks} microtasks after a slice`, async t => {
    let written = ''
    const write = (bytes: Buffer) => {
      written += bytes.toString()
      return true
    }
    const callerResponse = { hasCallerLeft: false, phase: 'begun', write, waitDrain: () => Promise.resolve(true) } as unknown as CallerResponse
    const relay = new StreamRelay(callerResponse, true, null, new EventMemory(), new EventTurns(), new ForwardingTurns())
    let chunkCount = 0
    const supersedeLater = async () => {
      for (let n = 0; n < microtasks; n++) await null
      relay.supersede()
    }
    const onChunk = () => {
      chunkCount++
      if (chunkCount !== 2) return
      relay.hold()
      supersedeLater().catch(() => t.fail())
    }
    t.deepEqual(await relay.forward(buildResponse(buildEvents(1, 2), buildEvents(3, EVENT_COUNT)), { ...RELAY_OPTIONS, onChunk }), { type: 'superseded' })
    t.deepEqual(await relay.forward(buildResponse(buildEvents(1, EVENT_COUNT)), RELAY_OPTIONS), { type: 'complete' })
    t.is(written, buildEvents(1, EVENT_COUNT))
  })
}
