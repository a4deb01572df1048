import type { OutgoingHttpHeaders, ServerResponse } from 'node:http'

/** Sends a JSON response; does nothing if the response has already ended or its connection is closed. */
export function sendJsonResponse (response: ServerResponse, status: number, value: unknown, headers: OutgoingHttpHeaders = {}): void {
  if (response.destroyed || response.writableEnded) return
  const body = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...headers })
  response.end(body)
}
