import type { RequestId } from './ids.ts'
import type { Ran } from './ran.ts'

/** Body of every error answer to a caller. */
export interface ErrorBody {
  error: {
    /** Stable code, for example `queue_full`. */
    code: string
    message: string
    /** OpenAI-style class of the error. */
    type: 'invalid_request_error' | 'authentication_error' | 'rate_limit_error' | 'server_error'
    ran: Ran
    request_id: RequestId
  }
}
