import type http from 'node:http'
import { CONNECTION_END } from './connectionEnd.ts'
import { ConnectionResetError, ResponseMalformedError } from './httpErrors.ts'
import { isFinalStatus } from './isFinalStatus.ts'
import { limitResponse } from './limitResponse.ts'
import { watchBodyEnd } from './watchBodyEnd.ts'

/**
 * Waits for the head of the response to a request; rejects with the error of its connection, or with ResponseMalformedError.
 *
 * A body that is not whole when its connection fails, is reset or is aborted ends with an error: that of the connection, or ConnectionResetError.
 * Its reader must rely on this error, as Node.js may set `complete` although bytes are missing.
 */
export function waitForHead (request: http.ClientRequest): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    let head: http.IncomingMessage | null = null
    limitResponse(request, error => (head ?? request).destroy(error))
    const rejectStatus = ({ statusCode }: http.IncomingMessage) => {
      reject(new ResponseMalformedError(`The status ${statusCode} is not that of a final response.`))
      request.destroy()
    }
    request.once('upgrade', rejectStatus)
    request.once('response', message => {
      if (!isFinalStatus(message.statusCode)) return rejectStatus(message)
      head = message
      // Node.js ends a body without a length as if it were complete, also after a connection reset.
      request.on('error', error => { if (!message.complete) message.destroy(error) })
      watchBodyEnd(message, end => {
        if (end === CONNECTION_END.reset) message.destroy(new ConnectionResetError('The connection was reset behind the last bytes of a body without a length.'))
      })
      resolve(message)
    })
    request.on('error', reject)
  })
}
