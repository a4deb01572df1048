import { requestJson } from 'knapweedshunt-utils'
import type { JsonRequest } from 'knapweedshunt-utils'
import { CliError } from './cliError.ts'

const REQUEST_TIMEOUT_MS = 10_000

/** Size of a response, in bytes: a list of all resources. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024

/** Base URL of admin and the operator key that authenticates the caller. */
export interface AdminAddress {
  url: string
  operatorKey: string
}

/** Sends a request to admin and returns the response body. Throws a CliError with admin's message for any status but 200. */
export async function callAdmin (address: AdminAddress, method: JsonRequest['method'], path: string, body?: unknown): Promise<unknown> {
  const headers = { authorization: `Bearer ${address.operatorKey}` }
  const answer = await requestJson({ method, url: address.url + path, body, headers, timeoutMs: REQUEST_TIMEOUT_MS, maxResponseBytes: MAX_RESPONSE_BYTES }).catch(cause => {
    throw new CliError(`Admin at ${address.url} did not answer: check --admin-url.`, { cause })
  })
  if (answer.status === 200) return answer.body
  const error = (answer.body as { error?: { code: string, message: string } } | undefined)?.error
  throw new CliError(`${error?.code ?? answer.status}: ${error?.message ?? 'Admin rejected the request.'}`)
}
