import type { IncomingMessage, ServerResponse } from 'node:http'
import { parseJson, readBody, sendJson, sleep } from 'knapweedshunt-utils'
import { z } from 'zod'
import type { EngineState } from './engineState.ts'

const MAX_BODY_BYTES = 16 * 1024 * 1024
const weightsOrder = z.object({ weightsVersion: z.string(), fencing: z.number().int() })
const roleOrder = z.object({ role: z.string(), fencing: z.number().int() })
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
    case 'POST /manage/cancel':
      state.cancelled.add(cancelOrder.parse(body).attempt)
      return sendJson(response, 200, {})
    case 'POST /manage/weights':
      return loadWeights(state, response, weightsOrder.parse(body))
    case 'POST /manage/role': {
      const order = roleOrder.parse(body)
      if (!takeFencing(state, response, order.fencing)) return
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
  if (!takeFencing(state, response, order.fencing)) return
  const born = state.incarnation
  if (state.weightsVersion !== order.weightsVersion) {
    await sleep(state.options.loadWeightsMs)
    if (state.incarnation === born) state.takeWeights(order.weightsVersion)
  }
  sendJson(response, 200, { weightsVersion: state.weightsVersion, incarnation: state.incarnation })
}

function takeFencing (state: EngineState, response: ServerResponse, fencing: number): boolean {
  if (state.options.checksFencing && fencing < state.fencing) {
    sendJson(response, 409, { error: 'The fencing number is old.', fencing: state.fencing })
    return false
  }
  state.fencing = Math.max(state.fencing, fencing)
  return true
}
