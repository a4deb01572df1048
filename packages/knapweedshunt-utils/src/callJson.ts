import http from 'node:http'
import { HttpError } from './httpErrors.ts'
import { parseJson } from './parseJson.ts'
import { readBody } from './readBody.ts'

/** An HTTP call with a JSON body and a JSON answer. */
export interface JsonCall {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  url: string
  /** Left out for calls without a body. */
  body?: unknown
  headers?: Record<string, string>
  timeoutMs: number
  signal?: AbortSignal
  agent?: http.Agent
}

/** Answer to a {@link JsonCall}; `body` is undefined when the answer had none. */
export interface JsonAnswer {
  status: number
  headers: http.IncomingHttpHeaders
  body: unknown
}

const MAX_ANSWER_BYTES = 64 * 1024 * 1024

/** Makes the call. Throws HttpError when it timed out, was aborted, could not connect or the answer was not JSON. */
export async function callJson (call: JsonCall): Promise<JsonAnswer> {
  const text = call.body === undefined ? '' : JSON.stringify(call.body)
  const signals = [AbortSignal.timeout(call.timeoutMs)]
  if (call.signal) signals.push(call.signal)
  const signal = AbortSignal.any(signals)
  try {
    const message = await sendRequest(call, text, signal)
    const answer = await readBody(message, MAX_ANSWER_BYTES)
    return { status: message.statusCode ?? 0, headers: message.headers, body: answer === '' ? undefined : parseJson(answer) }
  } catch (cause) {
    throw new HttpError(`${call.method} ${call.url} failed.`, { cause })
  }
}

function sendRequest (call: JsonCall, text: string, signal: AbortSignal): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    const headers = { ...call.headers, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }
    const request = http.request(call.url, { method: call.method, headers, signal, agent: call.agent })
    request.once('response', resolve)
    request.once('error', reject)
    request.end(text)
  })
}
