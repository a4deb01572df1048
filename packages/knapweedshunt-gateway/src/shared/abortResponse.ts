import type http from 'node:http'

/** Ends a response that cannot be completed, so that its caller does not take it for complete. Without a length or chunks only a reset shows that. */
export function abortResponse (response: http.ServerResponse): void {
  if (response.useChunkedEncodingByDefault) response.destroy()
  else response.socket?.resetAndDestroy()
}
