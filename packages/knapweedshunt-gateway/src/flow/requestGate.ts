import type http from 'node:http'
import type { SuspectRegistry } from 'knapweedshunt-attempts'
import { computeFingerprint } from 'knapweedshunt-attempts'
import { hashText } from 'knapweedshunt-utils'
import { readRequestBody } from '../callers/readBody.ts'
import type { ConfigState } from '../directory/configState.ts'
import type { KeyFreshness } from '../directory/keyFreshness.ts'
import type { EndpointChooser } from '../endpoints/endpointChooser.ts'
import type { RequestBody } from '../endpoints/attempt.ts'
import type { CallerCall, CallerIdentity } from '../ports/callerCall.ts'
import type { GatewayConfig, GatewayRoute } from '../ports/gatewayConfig.ts'
import { createCallerError } from '../shared/callerError.ts'
import { listEndToEndHeaders } from '../shared/endToEndHeaders.ts'
import { choosePool } from './choosePool.ts'
import type { RequestPlan } from './requestPlan.ts'

/** When a caller may come again where another VM can serve it at once, in milliseconds. */
export const RETRY_ELSEWHERE_MS = 150

/** When a caller whose request crashed endpoints may come again, in milliseconds. */
const QUARANTINE_RETRY_MS = 30_000

/** What the gate looks at. */
export interface GateParts {
  config: ConfigState
  keys: KeyFreshness
  chooser: EndpointChooser
  suspects: SuspectRegistry
}

/** Checks a request against the configuration in force and plans it. */
export class RequestGate {
  readonly #parts: GateParts

  constructor (parts: GateParts) {
    this.#parts = parts
  }

  /** Reads and checks the whole request. Throws CallerError for one that gets no endpoint. */
  async check (message: http.IncomingMessage, call: CallerCall, arrivedAtMs: number): Promise<RequestPlan> {
    const { limits } = this.#readConfig()
    if (countHeaderBytes(message.rawHeaders) > limits.headerBytes) throw createCallerError(431, 'header_too_large', `The headers are over ${limits.headerBytes} bytes.`, { closes: true })
    this.#findRoute(call)
    const body = await readRequestBody(message, { maxBytes: limits.bodyBytes, idleMs: limits.idleMs })
    const identity = await this.#authenticate(call)
    // The body may have taken long: what is in force now decides.
    const config = this.#readConfig()
    const route = this.#findRoute(call)
    const pool = choosePool(route.shares, call.requestId)
    if (pool === undefined) throw createCallerError(404, 'no_route', `The route ${route.name} names no pool.`)
    const levels = route.usesPrefixes ? this.#parts.chooser.cutLevels(call.prompt, identity) : []
    const fingerprint = computeFingerprint(identity?.organisation ?? '', hashText(call.method, call.target, hashBody(body)))
    if (this.#parts.suspects.check(fingerprint).type === 'quarantined') throw createCallerError(503, 'quarantined', 'The request was running when several endpoints crashed.', { retryAfterMs: QUARANTINE_RETRY_MS })
    return {
      call,
      route,
      identity,
      body,
      headers: listEndToEndHeaders(message.rawHeaders),
      levels,
      pool,
      fingerprint,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + Math.min(route.timeoutMs, call.timeLeftMs ?? Infinity),
      configRevision: config.revision
    }
  }

  #readConfig (): GatewayConfig {
    const { config } = this.#parts.config
    if (config === null) throw createCallerError(503, 'no_config', 'No configuration was read yet.', { retryAfterMs: RETRY_ELSEWHERE_MS })
    return config
  }

  #findRoute (call: CallerCall): GatewayRoute {
    const route = this.#parts.config.routes.find(call.host, call.path)
    if (route === undefined) throw createCallerError(404, 'no_route', 'No route has this host and path.')
    return route
  }

  /** An unknown key may be a new one: it is refused for good only by a VM that knows the present ones. */
  async #authenticate (call: CallerCall): Promise<CallerIdentity | null> {
    const { config, keys } = this.#parts
    if (config.config?.organisations === null || this.#findRoute(call).isPublic) return null
    if (!await keys.check()) throw createCallerError(503, 'keys_unconfirmed', `The keys were last confirmed ${Math.round(keys.ageMs)} ms ago.`, { retryAfterMs: RETRY_ELSEWHERE_MS, closes: true })
    const identity = call.key === null ? undefined : config.findIdentity(call.key)
    if (identity !== undefined) return identity
    throw createCallerError(401, call.key === null ? 'no_key' : 'unknown_key', 'The request carries no known key.')
  }
}

function countHeaderBytes (raw: string[]): number {
  // Each header takes a colon, a space and a line end beside name and value.
  return raw.reduce((sum, text) => sum + text.length + 2, 0)
}

function hashBody (body: RequestBody): string {
  if (body.type === 'none') return ''
  return hashText((body.type === 'whole' ? body.bytes : Buffer.concat(body.first)).toString('latin1'))
}
