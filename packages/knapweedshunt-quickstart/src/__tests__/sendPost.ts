import http from 'node:http'
import { readBody } from 'knapweedshunt-utils'
import { ACCESS_KEY } from './hotelResources.ts'
import type { RouterHarness } from './startRouterHarness.ts'

const TIMEOUT_MS = 20_000

/** Sends a request with the access key; resolves to status, headers and parsed JSON body. */
export async function sendPost (harness: RouterHarness, body: string, headers: Record<string, string> = {}, path = '/v1/completions', method = 'POST'): Promise<{ status: number, headers: http.IncomingHttpHeaders, body: object }> {
  const message = await new Promise<http.IncomingMessage>((resolve, reject) => {
    const request = http.request(harness.routers[0].callerUrl + path, { method, headers: { authorization: `Bearer ${ACCESS_KEY}`, ...headers } })
    request.once('response', resolve)
    request.once('error', reject)
    request.end(body)
  })
  return { status: message.statusCode ?? 0, headers: message.headers, body: JSON.parse(await readBody(message, TIMEOUT_MS)) }
}
