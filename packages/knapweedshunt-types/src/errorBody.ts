import type { RequestId } from './ids.ts'
import type { ExecutionState } from './executionState.ts'

/** JSON body of every error response to a caller. */
export interface ErrorBody {
  error: {
    /** Stable machine-readable code, for example `queue_full`. */
    code: string
    message: string
    /** Class of the error, as in the OpenAI API. */
    type: 'invalid_request_error' | 'authentication_error' | 'rate_limit_error' | 'server_error'
    ran: ExecutionState
    request_id: RequestId
  }
}
