import http from 'node:http'
import { ACCESS_KEY, MODEL, PROMPT } from './hotelResources.ts'
import type { RouterHarness } from './startRouterHarness.ts'

/** Sends the first router a request for a stream that lasts longer than any test; the caller leaves at its first bytes. */
export function sendAndLeave (harness: RouterHarness): void {
  const request = http.request(`${harness.routers[0].callerUrl}/v1/completions`, { method: 'POST', headers: { authorization: `Bearer ${ACCESS_KEY}` } })
  request.on('error', () => {})
  request.once('response', message => message.once('data', () => request.destroy()))
  request.end(JSON.stringify({ model: MODEL, prompt: PROMPT, stream: true, max_tokens: 100_000 }))
}
