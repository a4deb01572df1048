import type { IncomingMessage, ServerResponse } from 'node:http'
import { ENDPOINT_ROLES } from 'knapweedshunt-types'
import { parseJson, readBody, sendJson } from 'knapweedshunt-utils'
import { z } from 'zod'
import type { EngineState } from './engineState.ts'

const MAX_BODY_BYTES = 16 * 1024 * 1024
const orderHead = z.object({ fencing: z.number().int(), incarnation: z.string().optional() })
const weightsOrder = orderHead.extend({ weightsVersion: z.string().min(1), adapter: z.string().default('') })
const roleOrder = orderHead.extend({ role: z.enum(ENDPOINT_ROLES) })
const cancelOrder = z.object({ attempt: z.string() })
const kvOrder = z.object({ keys: z.array(z.string()) })

/** Answers load reports, cache events and management orders under `/manage/`. */
export async function serveManagement (state: EngineState, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://engine')
  const text = await readBody(request, MAX_BODY_BYTES)
  const body = text === '' ? undefined : parseJson(text)
  switch (`${request.method} ${url.pathname}`) {
    case 'GET /manage/load':
      return sendJson(response, 200, state.reportLoad())
    case 'GET /manage/cache-events': {
      const after = Number(url.searchParams.get('after') ?? 0)
      return sendJson(response, 200, { incarnation: state.incarnation, events: state.events.filter(event => event.n > after) })
    }
    case 'GET /manage/counts':
      return sendJson(response, 200, { received: state.received, started: state.started, computedTokens: state.computedTokens })
    case 'POST /manage/cancel':
      state.cancelled.add(cancelOrder.parse(body).attempt)
      return sendJson(response, 200, {})
    case 'POST /manage/weights':
      return loadWeights(state, response, weightsOrder.parse(body))
    case 'POST /manage/role': {
      const order = roleOrder.parse(body)
      if (!takeHead(state, response, order)) return
      state.role = order.role
      return sendJson(response, 200, { role: state.role })
    }
    case 'POST /manage/kv/export':
      return sendJson(response, 200, { keys: kvOrder.parse(body).keys.filter(key => state.cache.has(key)), weightsVersion: state.weightsVersion })
    case 'POST /manage/kv/import':
      state.storeBlocks(kvOrder.parse(body).keys)
      return sendJson(response, 200, {})
    case 'PUT /manage/faults':
      Object.assign(state.faults, body)
      return sendJson(response, 200, state.faults)
    default:
      return sendJson(response, 404, { error: `There is no ${request.method} ${url.pathname}.` })
  }
}

async function loadWeights (state: EngineState, response: ServerResponse, order: z.output<typeof weightsOrder>): Promise<void> {
  if (!takeHead(state, response, order)) return
  await state.loadWeights(order.weightsVersion, order.adapter)
  sendJson(response, 200, { weightsVersion: state.weightsVersion, incarnation: state.incarnation })
}

/** Refuses an order to an earlier incarnation, or with an old fencing number; else keeps the number. */
function takeHead (state: EngineState, response: ServerResponse, order: z.output<typeof orderHead>): boolean {
  if (!state.options.checksFencing) return true
  if (order.incarnation !== undefined && order.incarnation !== state.incarnation) {
    sendJson(response, 409, { error: 'The order is for an earlier incarnation.', incarnation: state.incarnation })
    return false
  }
  if (order.fencing < state.fencing) {
    sendJson(response, 409, { error: 'The fencing number is old.', fencing: state.fencing })
    return false
  }
  state.fencing = order.fencing
  return true
}
