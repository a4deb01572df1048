import type { IncomingMessage, ServerResponse } from 'node:http'
import { HttpError, parseJson, readBody, sendJsonResponse } from 'knapweedshunt-utils'
import type { AdminContext } from './adminContext.ts'
import { AdminError, createAdminError } from './adminError.ts'
import type { AdminErrorInstance } from './adminError.ts'
import { applyChange } from './applyChange.ts'
import { listResourcesWithStatus } from './listResourcesWithStatus.ts'
import { explain } from './explain.ts'
import { findRole } from './operatorKey.ts'
import type { OperatorKey, OperatorRole } from './operatorKey.ts'
import { watchChanges } from './watchChanges.ts'

const MAX_BODY_BYTES = 16 * 1024 * 1024

/** Handles one operator request. Never throws: errors become HTTP responses. */
export async function serveAdmin (context: AdminContext, keys: OperatorKey[], message: IncomingMessage, response: ServerResponse, stopSignal: AbortSignal): Promise<void> {
  try {
    const role = findRole(message.headers, keys)
    if (role === null) throw createAdminError(401, 'key_unknown', 'The operator key is missing or unknown: send "Authorization: Bearer <key>".')
    await serveCall(context, role, message, response, stopSignal)
  } catch (error) {
    const adminError = describeError(error)
    sendJsonResponse(response, adminError.status, { error: { code: adminError.code, message: adminError.message, ...adminError.details } })
  }
}

async function serveCall (context: AdminContext, role: OperatorRole, message: IncomingMessage, response: ServerResponse, stopSignal: AbortSignal): Promise<void> {
  const url = new URL(message.url ?? '/', 'http://admin')
  switch (`${message.method} ${url.pathname}`) {
    case 'GET /v1/resources': {
      const filter = { kind: url.searchParams.get('kind'), name: url.searchParams.get('name') }
      return sendJsonResponse(response, 200, { items: await listResourcesWithStatus(context, role, filter) })
    }
    case 'POST /v1/changes': {
      const body = parseJson(await readBody(message, MAX_BODY_BYTES))
      return sendJsonResponse(response, 200, { revision: await applyChange(context, role, body) })
    }
    case 'POST /v1/explain': {
      const body = parseJson(await readBody(message, MAX_BODY_BYTES))
      return sendJsonResponse(response, 200, await explain(context, role, body))
    }
    case 'GET /v1/watch':
      return watchChanges(context, role, message, response, stopSignal)
    case 'GET /v1/figures':
      if (role.type === 'organisation') throw createAdminError(403, 'role_forbids', 'Only viewer and editor keys may read metrics.')
      return sendJsonResponse(response, 200, { rows: await context.router.call('router.figures', {}) })
    default:
      throw createAdminError(404, 'path_unknown', `${message.method} ${url.pathname} does not exist.`)
  }
}

function describeError (error: unknown): AdminErrorInstance {
  if (error instanceof AdminError) return error as AdminErrorInstance
  if (error instanceof HttpError) return createAdminError(400, 'body_invalid', error.message)
  return createAdminError(503, 'unavailable', `The request could not be served: ${(error as Error).message}`)
}
