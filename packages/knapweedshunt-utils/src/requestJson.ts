import http from 'node:http'
import type { BodyMemory } from './bodyMemory.ts'
import { buildCausedError } from './buildCausedError.ts'
import { estimateParsedBytes } from './estimateParsedBytes.ts'
import { HttpError, NoRoomError } from './httpErrors.ts'
import { parseJson } from './parseJson.ts'
import { readBody } from './readBody.ts'
import { ResponseAgent } from './responseAgent.ts'
import { runWithTimeout } from './runWithTimeout.ts'
import { waitForHead } from './waitForHead.ts'

/** The same options as those of `http.globalAgent`. */
const defaultAgent = new ResponseAgent({ keepAlive: true, scheduling: 'lifo', timeout: 5_000 })

/** An HTTP request with a JSON body whose response is JSON. */
export interface JsonRequest {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  url: string
  /** Undefined for requests without a body. */
  body?: unknown
  headers?: Record<string, string>
  timeoutMs: number
  signal?: AbortSignal
  agent?: http.Agent
  /** Size above which the response is given up, in bytes; {@link DEFAULT_MAX_RESPONSE_BYTES} if not set. */
  maxResponseBytes?: number
  /** Memory that responses share until they are parsed, with an estimate of their values; not limited if not set. */
  memory?: BodyMemory
}

/** Response to a {@link JsonRequest}; `body` is undefined if the response body was empty. */
export interface JsonResponse {
  status: number
  headers: http.IncomingHttpHeaders
  body: unknown
}

/** Default for the size of a response, in bytes: that of a report or an answer to a command. */
const DEFAULT_MAX_RESPONSE_BYTES = 256 * 1024

/** Sends the request and reads the response. Throws HttpError on timeout, abort or connection failure, and if the response is too large or there is no room for it, truncated or not JSON; HTTP error statuses are returned. */
export async function requestJson (call: JsonRequest): Promise<JsonResponse> {
  const bodyText = call.body === undefined ? '' : JSON.stringify(call.body)
  const share = call.memory?.open()
  try {
    return await runWithTimeout(call.timeoutMs, call.signal === undefined ? [] : [call.signal], async signal => {
      try {
        const message = await sendRequest(call, bodyText, signal)
        const responseText = await readBody(message, call.maxResponseBytes ?? DEFAULT_MAX_RESPONSE_BYTES, sizeBytes => share?.tryResize(sizeBytes) ?? true)
        if (share?.tryResize(estimateParsedBytes(responseText)) === false) throw new NoRoomError(`There is no memory for the values of ${responseText.length} characters of JSON.`)
        return { status: message.statusCode ?? 0, headers: message.headers, body: responseText === '' ? undefined : parseJson(responseText) }
      } catch (error) {
        throw signal.aborted ? signal.reason : error
      }
    })
  } catch (cause) {
    throw buildCausedError(HttpError, `${call.method} ${call.url} failed.`, cause)
  } finally {
    share?.release()
  }
}

async function sendRequest (call: JsonRequest, bodyText: string, signal: AbortSignal): Promise<http.IncomingMessage> {
  const headers = { ...call.headers, 'content-type': 'application/json', 'content-length': Buffer.byteLength(bodyText) }
  const request = http.request(call.url, { method: call.method, headers, signal, agent: call.agent ?? defaultAgent })
  request.end(bodyText)
  return await waitForHead(request)
}
