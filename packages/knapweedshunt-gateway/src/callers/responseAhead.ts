import type http from 'node:http'

const responsesAhead = new WeakMap<http.IncomingMessage, http.ServerResponse>()

/** Records the response behind which that to a request waits for its turn, until it is out. */
export function recordResponseAhead (request: http.IncomingMessage, responseAhead: http.ServerResponse): void {
  responsesAhead.set(request, responseAhead)
  responseAhead.once('close', () => responsesAhead.delete(request))
}

/** Returns the response behind which that to a request waits for its turn; undefined if there is none. */
export function getResponseAhead (request: http.IncomingMessage): http.ServerResponse | undefined {
  return responsesAhead.get(request)
}
