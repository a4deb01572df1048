import type http from 'node:http'

/**
 * Waits for the head of the response to a request; rejects with the error of its connection.
 *
 * A body that is not whole when its connection fails or is aborted ends with that error. Its reader must rely on it, as Node.js may
 * set `complete` although bytes are missing.
 */
export function waitForHead (request: http.ClientRequest): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    request.once('response', message => {
      // Node.js ends a body without a length as if it were complete, also after a connection reset.
      request.on('error', error => { if (!message.complete) message.destroy(error) })
      resolve(message)
    })
    request.on('error', reject)
  })
}
