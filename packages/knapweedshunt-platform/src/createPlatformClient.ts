import type { VmListEntry } from 'knapweedshunt-types'
import { buildCausedError, requestJson, ResponseAgent } from 'knapweedshunt-utils'
import type { JsonResponse, JsonRequest } from 'knapweedshunt-utils'
import type { Platform } from './platform.ts'
import { PlatformRefusedError, PlatformUnreachableError } from './platformError.ts'
import type { Row } from './row.ts'
import type { TransactionResult } from './transaction.ts'

/** Connection options of the platform client. */
export interface PlatformClientOptions {
  /** Base URL with an IP address. */
  url: string
  /** Timeout of one HTTP call, in milliseconds. */
  timeoutMs: number
}

/** Default timeout of one HTTP call to the platform, in milliseconds. */
export const DEFAULT_PLATFORM_TIMEOUT_MS = 2_000

/** Size of a response, in bytes: a scan returns whole tables. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024

const FIRST_SERVER_ERROR = 500
const FIRST_CLIENT_ERROR = 400

/** Creates an HTTP client of the platform. A 5xx status or no answer throws PlatformUnreachableError; a 4xx status other than 404 throws PlatformRefusedError. */
export function createPlatformClient (options: PlatformClientOptions): Platform {
  const agent = new ResponseAgent({ keepAlive: true })
  async function call (method: JsonRequest['method'], path: string, body?: unknown): Promise<JsonResponse> {
    let answer: JsonResponse
    try {
      answer = await requestJson({ method, url: options.url + path, body, timeoutMs: options.timeoutMs, agent, maxResponseBytes: MAX_RESPONSE_BYTES })
    } catch (cause) {
      throw buildCausedError(PlatformUnreachableError, 'Platform call failed without an HTTP answer.', cause)
    }
    if (answer.status >= FIRST_SERVER_ERROR) throw new PlatformUnreachableError(`Platform returned HTTP status ${answer.status}.`)
    if (answer.status >= FIRST_CLIENT_ERROR && answer.status !== 404) throw new PlatformRefusedError(`Platform rejected ${path} with HTTP status ${answer.status}.`)
    return answer
  }
  return {
    read: async (table, key) => (await call('POST', '/tables/read', { table, key })).body as Row | null,
    scan: async request => (await call('POST', '/tables/scan', request)).body as Row[],
    transact: async transaction => (await call('POST', '/tables/transact', transaction)).body as TransactionResult,
    getObject: async name => {
      const answer = await call('GET', `/objects/${encodeURIComponent(name)}`)
      return answer.status === 404 ? null : (answer.body as { text: string }).text
    },
    putObject: async (name, text) => { await call('PUT', `/objects/${encodeURIComponent(name)}`, { text }) },
    listVms: async () => (await call('GET', '/vms')).body as VmListEntry[]
  }
}
