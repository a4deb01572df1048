import http from 'node:http'
import type { AttemptEvent, Usage } from 'knapweedshunt-attempts'
import type { AttemptId } from 'knapweedshunt-types'
import { HttpError, readBody } from 'knapweedshunt-utils'
import { createParser } from 'eventsource-parser'
import type { EventSourceMessage } from 'eventsource-parser'
import { z } from 'zod'
import { buildEndpointCall } from './buildEndpointCall.ts'
import type { CallerRequest } from './callerRequest.ts'

/** One attempt of a request on one endpoint. */
export interface AttemptCall {
  attempt: AttemptId
  /** Base URL of the endpoint. */
  url: string
  request: CallerRequest
  resumeFrom: number
  agent: http.Agent
  signal: AbortSignal
  /** Gets every event of the attempt; the last one is `end`, `answer`, `refused` or `broken`. */
  emit (event: AttemptEvent): void
}

const MAX_ANSWER_BYTES = 16 * 1024 * 1024
const END_OF_STREAM = '[DONE]'
const tokenData = z.object({ text: z.string() })
const usageData = z.object({
  usage: z.object({
    prompt_tokens: z.number(),
    completion_tokens: z.number(),
    prompt_tokens_details: z.object({ cached_tokens: z.number() })
  })
})

/** Sends the request and turns what comes back into events. Never throws. */
export async function runAttempt (call: AttemptCall): Promise<void> {
  const { attempt, emit } = call
  try {
    const message = await sendAttempt(call)
    emit({ type: 'head', attempt, status: message.statusCode ?? 0, incarnation: String(message.headers['x-endpoint-incarnation'] ?? '') })
    if (call.request.work.type === 'service') await readAnswer(call, message)
    else await readStream(call, message)
  } catch (error) {
    emit({ type: isRefusal(error) ? 'refused' : 'broken', attempt })
  }
}

function sendAttempt (call: AttemptCall): Promise<http.IncomingMessage> {
  const { path, method, headers, body } = buildEndpointCall(call)
  return new Promise((resolve, reject) => {
    const request = http.request(call.url + path, { method, headers, agent: call.agent, signal: call.signal })
    request.once('response', resolve)
    request.once('error', reject)
    request.end(body)
  })
}

/** A connection that was refused carried no byte of the request. */
function isRefusal (error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === 'ECONNREFUSED'
}

async function readAnswer (call: AttemptCall, message: http.IncomingMessage): Promise<void> {
  const body = await readBody(message, MAX_ANSWER_BYTES)
  const contentType = message.headers['content-type'] ?? 'application/octet-stream'
  call.emit({ type: 'answer', attempt: call.attempt, answer: { status: message.statusCode ?? 0, contentType, body } })
}

async function readStream (call: AttemptCall, message: http.IncomingMessage): Promise<void> {
  if (message.statusCode !== 200) throw new HttpError(`The engine answered ${message.statusCode}.`)
  let ended = false
  const parser = createParser({
    onEvent (event) {
      if (event.data === END_OF_STREAM) ended = true
      else emitEvent(call, event)
    }
  })
  message.setEncoding('utf8')
  for await (const chunk of message) parser.feed(chunk as string)
  call.emit({ type: ended ? 'end' : 'broken', attempt: call.attempt })
}

function emitEvent (call: AttemptCall, event: EventSourceMessage): void {
  const data: unknown = JSON.parse(event.data)
  const usage = usageData.safeParse(data)
  if (usage.success) return call.emit({ type: 'usage', attempt: call.attempt, usage: convertUsage(usage.data) })
  call.emit({ type: 'token', attempt: call.attempt, n: Number(event.id), text: tokenData.parse(data).text })
}

function convertUsage ({ usage }: z.output<typeof usageData>): Usage {
  return { promptTokens: usage.prompt_tokens, completionTokens: usage.completion_tokens, cachedTokens: usage.prompt_tokens_details.cached_tokens }
}
