import type { IncomingMessage, ServerResponse } from 'node:http'
import { ENDPOINT_ROLES } from 'knapweedshunt-types'
import { parseJson, readBody, sendJsonResponse } from 'knapweedshunt-utils'
import { z } from 'zod'
import type { EngineState } from './engineState.ts'

const MAX_BODY_BYTES = 16 * 1024 * 1024
const commandSchema = z.object({ fencing: z.number().int(), incarnation: z.string().optional() })
const weightsCommandSchema = commandSchema.extend({ weightsVersion: z.string().min(1), adapter: z.string().default('') })
const roleCommandSchema = commandSchema.extend({ role: z.enum(ENDPOINT_ROLES) })
const cancelCommandSchema = z.object({ attempt: z.string() })
const kvCommandSchema = z.object({ keys: z.array(z.string()) })

/** Serves load reports, cache events and management commands under `/manage/`. */
export async function serveManagement (state: EngineState, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://engine')
  const text = await readBody(request, MAX_BODY_BYTES)
  const body = text === '' ? undefined : parseJson(text)
  switch (`${request.method} ${url.pathname}`) {
    case 'GET /manage/load':
      return sendJsonResponse(response, 200, state.reportLoad())
    case 'GET /manage/cache-events': {
      const after = Number(url.searchParams.get('after') ?? 0)
      return sendJsonResponse(response, 200, { incarnation: state.incarnation, events: state.events.filter(event => event.n > after) })
    }
    case 'GET /manage/counts':
      return sendJsonResponse(response, 200, { received: state.received, started: state.started, computedTokens: state.computedTokens })
    case 'POST /manage/cancel':
      state.cancelled.add(cancelCommandSchema.parse(body).attempt)
      return sendJsonResponse(response, 200, {})
    case 'POST /manage/weights':
      return loadWeights(state, response, weightsCommandSchema.parse(body))
    case 'POST /manage/role': {
      const command = roleCommandSchema.parse(body)
      if (!acceptCommand(state, response, command)) return
      state.role = command.role
      return sendJsonResponse(response, 200, { role: state.role })
    }
    case 'POST /manage/kv/export':
      return sendJsonResponse(response, 200, { keys: kvCommandSchema.parse(body).keys.filter(key => state.cache.has(key)), weightsVersion: state.weightsVersion })
    case 'POST /manage/kv/import':
      state.storeBlocks(kvCommandSchema.parse(body).keys)
      return sendJsonResponse(response, 200, {})
    case 'PUT /manage/faults':
      Object.assign(state.faults, body)
      return sendJsonResponse(response, 200, state.faults)
    default:
      return sendJsonResponse(response, 404, { error: `There is no ${request.method} ${url.pathname}.` })
  }
}

async function loadWeights (state: EngineState, response: ServerResponse, command: z.output<typeof weightsCommandSchema>): Promise<void> {
  if (!acceptCommand(state, response, command)) return
  await state.loadWeights(command.weightsVersion, command.adapter)
  sendJsonResponse(response, 200, { weightsVersion: state.weightsVersion, incarnation: state.incarnation })
}

/** Answers 409 to a command for another incarnation or with an old fencing token; otherwise records the token. Returns whether the command may run. */
function acceptCommand (state: EngineState, response: ServerResponse, command: z.output<typeof commandSchema>): boolean {
  if (!state.options.checksFencing) return true
  if (command.incarnation !== undefined && command.incarnation !== state.incarnation) {
    sendJsonResponse(response, 409, { error: 'The command is for another incarnation.', incarnation: state.incarnation })
    return false
  }
  if (command.fencing < state.fencing) {
    sendJsonResponse(response, 409, { error: 'The fencing token is older than the last accepted one.', fencing: state.fencing })
    return false
  }
  state.fencing = command.fencing
  return true
}
