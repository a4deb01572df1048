import type { ClientRequest } from 'node:http'
import { ResponseMalformedError } from './httpErrors.ts'

/** Largest number of informational heads (1xx) before a response; Node.js has no limit. */
const MAX_INFORMATIONAL_HEADS = 64

/** Calls `onTooMany` once if more than {@link MAX_INFORMATIONAL_HEADS} informational heads arrive before the response to a request. */
export function watchInformationalHeads (request: ClientRequest, onTooMany: (error: Error) => void): void {
  let count = 0
  const handleHead = () => {
    count++
    if (count <= MAX_INFORMATIONAL_HEADS) return
    request.removeListener('information', handleHead)
    onTooMany(new ResponseMalformedError(`more than ${MAX_INFORMATIONAL_HEADS} informational heads before the response`))
  }
  request.on('information', handleHead)
}
