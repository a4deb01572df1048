import type { IncomingMessage } from 'node:http'
import type { Usage } from 'knapweedshunt-attempts'
import { createParser } from 'eventsource-parser'
import type { EventSourceMessage } from 'eventsource-parser'
import { z } from 'zod'
import type { AttemptCall } from './attemptCall.ts'
import { EndpointError } from './endpointError.ts'
import type { StallTimer } from './stallTimer.ts'

const END_OF_STREAM = '[DONE]'
const EVENT_STREAM_PATTERN = /^text\/event-stream\b/

/** Longest event, in characters. */
const MAX_EVENT_CHARS = 1024 * 1024

const tokenData = z.object({ text: z.string() })
const tokenNumber = z.string().regex(/^\d{1,15}$/).transform(Number)
const usageData = z.object({
  usage: z.object({
    prompt_tokens: z.number().int().nonnegative(),
    completion_tokens: z.number().int().nonnegative(),
    prompt_tokens_details: z.object({ cached_tokens: z.number().int().nonnegative() })
  })
})

/** Reads an engine's event stream up to its end mark. Throws EndpointError when it cannot be read, or the connection's error. */
export async function readEngineStream (call: AttemptCall, message: IncomingMessage, timer: StallTimer): Promise<void> {
  const { attempt } = call
  if (!EVENT_STREAM_PATTERN.test(message.headers['content-type'] ?? '')) {
    message.destroy()
    throw new EndpointError('The engine answered with something other than an event stream.')
  }
  call.emit({ type: 'head', attempt, status: message.statusCode ?? 0, incarnation: readText(message, 'x-endpoint-incarnation'), weightsVersion: readText(message, 'x-weights-version') })
  if (await readEvents(call, message, timer)) call.emit({ type: 'end', attempt })
  else call.emit({ type: 'broken', attempt, reason: 'reset' })
}

/** Returns whether the end mark came. Only a token is a sign of life; other events leave the timer running. */
async function readEvents (call: AttemptCall, message: IncomingMessage, timer: StallTimer): Promise<boolean> {
  let ended = false
  let tokens = 0
  const parser = createParser({
    maxBufferSize: MAX_EVENT_CHARS,
    onError (error) {
      if (error.type === 'max-buffer-size-exceeded') throw new EndpointError('An event is too long.', { cause: error })
    },
    onEvent (event) {
      if (ended) return
      if (event.data === END_OF_STREAM) ended = true
      else if (emitEvent(call, event)) tokens++
    }
  })
  message.setEncoding('utf8')
  for await (const chunk of message) {
    const before = tokens
    parser.feed(chunk as string)
    if (tokens === before) continue
    timer.stop()
    await call.waitDrain()
    if (!ended) timer.start('between-tokens')
  }
  return ended
}

/** Returns whether the event was a token. */
function emitEvent (call: AttemptCall, event: EventSourceMessage): boolean {
  const data = parseData(event.data)
  const usage = usageData.safeParse(data)
  if (usage.success) {
    call.emit({ type: 'usage', attempt: call.attempt, usage: convertUsage(usage.data) })
    return false
  }
  const token = tokenData.safeParse(data)
  const n = tokenNumber.safeParse(event.id)
  if (!token.success || !n.success) throw new EndpointError('An event is neither a numbered token nor a usage.')
  call.emit({ type: 'token', attempt: call.attempt, n: n.data, text: token.data.text })
  return true
}

function parseData (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (cause) {
    throw new EndpointError('An event is not JSON.', { cause })
  }
}

function convertUsage ({ usage }: z.output<typeof usageData>): Usage {
  return { promptTokens: usage.prompt_tokens, completionTokens: usage.completion_tokens, cachedTokens: usage.prompt_tokens_details.cached_tokens }
}

function readText (message: IncomingMessage, name: string): string {
  const value = message.headers[name]
  return typeof value === 'string' ? value : ''
}
