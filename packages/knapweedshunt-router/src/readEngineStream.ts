import type { IncomingMessage } from 'node:http'
import type { Usage } from 'knapweedshunt-attempts'
import { estimateParsedBytes, NoRoomError, PROCESS_TURNS } from 'knapweedshunt-utils'
import { createParser } from 'eventsource-parser'
import type { EventSourceMessage } from 'eventsource-parser'
import { z } from 'zod'
import type { AttemptCall } from './attemptCall.ts'
import { EndpointError } from './endpointError.ts'
import { EventSplitter } from './eventSplitter.ts'
import type { StallTimer } from './stallTimer.ts'

const END_OF_STREAM_DATA = '[DONE]'
const EVENT_STREAM_PATTERN = /^text\/event-stream\b/

/** Longest server-sent event, with the comments before it, in bytes. */
const MAX_EVENT_BYTES = 1024 * 1024

/** Length of the parts in which events are parsed, in characters. */
const SLICE_CHARS = 2 * 1024

/** Time from which on a slice counts as costly, in milliseconds: its events are many, and the next slice takes its turn. */
const COSTLY_SLICE_MS = 0.2

/** What an event may take once it is parsed, in bytes: its text, and as much for its values. */
const MAX_PARSED_EVENT_BYTES = 2 * MAX_EVENT_BYTES

/** Memory that a kept token takes beside its text, in bytes. */
const KEPT_TOKEN_OVERHEAD_BYTES = 16

const tokenSchema = z.object({ text: z.string() })
const tokenNumberSchema = z.string().regex(/^\d{1,15}$/).transform(Number)
const usageSchema = z.object({
  usage: z.object({
    prompt_tokens: z.number().int().nonnegative(),
    completion_tokens: z.number().int().nonnegative(),
    prompt_tokens_details: z.object({ cached_tokens: z.number().int().nonnegative() })
  })
})

/** Reads an engine's event stream up to `[DONE]`. Throws EndpointError when the stream is malformed, or the connection's error if it fails before `[DONE]`. */
export async function readEngineStream (call: AttemptCall, message: IncomingMessage, timer: StallTimer): Promise<void> {
  const { attempt } = call
  if (!EVENT_STREAM_PATTERN.test(message.headers['content-type'] ?? '')) {
    message.destroy()
    throw new EndpointError('The engine sent a response that is not an event stream.')
  }
  call.emit({ type: 'head', attempt, status: message.statusCode ?? 0, incarnation: readText(message, 'x-endpoint-incarnation'), weightsVersion: readText(message, 'x-weights-version'), softwareVersion: readText(message, 'x-software-version') })
  if (await readEvents(call, message, timer)) call.emit({ type: 'end', attempt })
  else call.emit({ type: 'broken', attempt, reason: 'reset' })
}

/** Returns whether `[DONE]` was received. Only tokens count as progress; other events do not reset the stall timer. */
async function readEvents (call: AttemptCall, message: IncomingMessage, timer: StallTimer): Promise<boolean> {
  let hasEnded = false
  let tokenCount = 0
  let keptBytes = 0
  const splitter = new EventSplitter()
  const parser = createParser({
    onEvent (event) {
      if (hasEnded) return
      if (event.data === END_OF_STREAM_DATA) hasEnded = true
      else if (emitEvent(call, event)) {
        tokenCount++
        if (isKept(call)) keptBytes += event.data.length + KEPT_TOKEN_OVERHEAD_BYTES
      }
    }
  })
  const pace = { usedMs: 0, sliceMs: 0 }
  const takeRoom = (waitingLength: number) => {
    if (!call.share.tryResize(keptBytes + splitter.capacity + waitingLength)) throw new NoRoomError('The router has no room for the response.')
  }
  try {
    for await (const chunk of message) {
      const text = splitter.add(chunk as Buffer)
      if (splitter.length > MAX_EVENT_BYTES) throw new EndpointError(`An event exceeds ${MAX_EVENT_BYTES} bytes.`)
      // It stays while its slices wait.
      takeRoom(text.length)
      for (let start = 0; start < text.length; start += SLICE_CHARS) {
        if (pace.sliceMs >= COSTLY_SLICE_MS) await PROCESS_TURNS.wait(pace.usedMs, pace.sliceMs, call.signal)
        call.signal.throwIfAborted()
        const previousTokenCount = tokenCount
        const startedAtMs = performance.now()
        parser.feed(text.slice(start, start + SLICE_CHARS))
        pace.sliceMs = performance.now() - startedAtMs
        pace.usedMs += pace.sliceMs
        if (tokenCount === previousTokenCount) continue
        timer.stop()
        await call.waitDrain()
        if (!hasEnded) timer.start('between-tokens')
      }
      takeRoom(0)
    }
  } catch (error) {
    // Nothing of the stream is missing if its connection fails behind `[DONE]`.
    if (!hasEnded || error instanceof EndpointError || error instanceof NoRoomError) throw error
  }
  return hasEnded
}

/** Whether the texts of a completion are kept until its end: for a response in one piece, or for the record of an order. */
function isKept ({ request: { work, repeatable } }: AttemptCall): boolean {
  return work.type === 'completion' && (!work.stream || !repeatable)
}

/** Emits the event of a message; returns whether it was a token. */
function emitEvent (call: AttemptCall, event: EventSourceMessage): boolean {
  const data = parseData(event.data)
  const usage = usageSchema.safeParse(data)
  if (usage.success) {
    call.emit({ type: 'usage', attempt: call.attempt, usage: convertUsage(usage.data) })
    return false
  }
  const token = tokenSchema.safeParse(data)
  const n = tokenNumberSchema.safeParse(event.id)
  if (!token.success || !n.success) throw new EndpointError('An event is neither a numbered token nor a usage report.')
  call.emit({ type: 'token', attempt: call.attempt, n: n.data, text: token.data.text })
  return true
}

function parseData (text: string): unknown {
  if (estimateParsedBytes(text) > MAX_PARSED_EVENT_BYTES) throw new EndpointError('An event has too many values.')
  try {
    return JSON.parse(text)
  } catch (cause) {
    throw new EndpointError('An event is not valid JSON.', { cause })
  }
}

function convertUsage ({ usage }: z.output<typeof usageSchema>): Usage {
  return { promptTokens: usage.prompt_tokens, completionTokens: usage.completion_tokens, cachedTokens: usage.prompt_tokens_details.cached_tokens }
}

function readText (message: IncomingMessage, name: string): string {
  const value = message.headers[name]
  return typeof value === 'string' ? value : ''
}
