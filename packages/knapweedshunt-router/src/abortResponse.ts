import type { ServerResponse } from 'node:http'

/** Closes the connection of a response that has begun, unless it is complete, so that its caller does not wait for the rest. */
export function abortResponse (response: ServerResponse): void {
  if (!response.writableEnded) response.destroy()
}
