import type { IncomingMessage } from 'node:http'
import { buildPrefixLevels } from 'knapweedshunt-placement'
import type { ModelPoolSpec, OrganisationName, ResourceOf } from 'knapweedshunt-types'
import { createIncarnation, estimateParsedBytes, hashText, parseJson } from 'knapweedshunt-utils'
import type { z } from 'zod'
import { authenticate } from './authenticate.ts'
import { createCallerError } from './callerError.ts'
import type { CallerRequest, CallerWork } from './callerRequest.ts'
import { chatCompletionSchema, completionSchema } from './completionSchema.ts'
import { readCallerBody } from './readCallerBody.ts'
import { splitAtOffsets } from './splitAtOffsets.ts'
import { readHeaders } from './readHeaders.ts'
import type { CallerHeaders } from './readHeaders.ts'
import type { ResourceIndex } from './resourceIndex.ts'

/** Path prefix under which plain services are routed. */
export const SERVICES_PATH = '/v1/services'

const SEED_HEX_DIGITS = 7

/** Length of the hash by which a part of prompts is recognised. */
const PART_HASH_CHARS = 32

/** What the values of one body may take, in bytes: a third of the heap that a small VM has. */
const MAX_PARSED_BYTES = 32 * 1024 * 1024

/** Reads, authenticates, routes and validates a request. Throws CallerError. */
export async function parseCallerRequest (message: IncomingMessage, index: ResourceIndex, maxBodyBytes: number): Promise<CallerRequest> {
  const organisation = authenticate(message.headers, index)
  const headers = readHeaders(message.headers)
  const text = await readCallerBody(message, maxBodyBytes)
  const path = (message.url ?? '/').split('?')[0]
  if (path === '/v1/completions' || path === '/v1/chat/completions') return parseCompletion(organisation, headers, path, text, index)
  if (path.startsWith(SERVICES_PATH + '/')) return parseService(organisation, headers, message, text, index)
  throw createCallerError('route_unknown', `There is no ${path}: see the callers' guide for the paths.`)
}

function parseCompletion (organisation: OrganisationName, headers: CallerHeaders, path: '/v1/completions' | '/v1/chat/completions', text: string, index: ResourceIndex): CallerRequest {
  if (path === '/v1/completions') {
    const body = checkBody(completionSchema, text)
    return buildCompletion(organisation, headers, path, body, splitAtOffsets(body.prompt, headers.prefixMarks), index)
  }
  const body = checkBody(chatCompletionSchema, text)
  return buildCompletion(organisation, headers, path, body, body.messages.map(part => JSON.stringify(part)), index)
}

function buildCompletion (organisation: OrganisationName, headers: CallerHeaders, path: '/v1/completions' | '/v1/chat/completions', body: { model: string, stream: boolean, seed?: number }, parts: string[], index: ResourceIndex): CallerRequest {
  const route = index.findModelRoute(body.model)
  if (route === undefined) throw createCallerError('route_unknown', `There is no route for the model "${body.model}": check the name.`)
  const pool = index.findPool(route.spec.pool) as ModelPoolSpec
  const salt = { organisation, model: pool.model, adapter: pool.adapter ?? '', weightsVersion: pool.weightsVersion }
  const digest = hashText(path, JSON.stringify(body))
  const seed = body.seed ?? parseInt(digest.slice(0, SEED_HEX_DIGITS), 16)
  const work: CallerWork = { type: 'completion', path, body, stream: body.stream, salt, seed }
  return { ...buildCommon(organisation, headers, route, index), levels: buildPrefixLevels(salt, parts), sharedParts: hashSharedParts(parts), digest, work }
}

function hashSharedParts (parts: string[]): string[] {
  return [...new Set(parts.slice(0, -1).map(part => hashText(part).slice(0, PART_HASH_CHARS)))]
}

function parseService (organisation: OrganisationName, headers: CallerHeaders, message: IncomingMessage, text: string, index: ResourceIndex): CallerRequest {
  const path = (message.url ?? '').slice(SERVICES_PATH.length)
  const route = index.findPathRoute(path)
  if (route === undefined) throw createCallerError('route_unknown', `There is no route for the service path "${path}": check it.`)
  const method = message.method ?? 'GET'
  const work: CallerWork = { type: 'service', method, path, contentType: message.headers['content-type'] ?? 'application/octet-stream', body: text }
  return { ...buildCommon(organisation, headers, route, index), levels: [], sharedParts: [], digest: hashText(method, path, text), work }
}

function buildCommon (organisation: OrganisationName, headers: CallerHeaders, route: ResourceOf<'Route'>, index: ResourceIndex): Omit<CallerRequest, 'levels' | 'sharedParts' | 'digest' | 'work'> {
  const priorityClass = headers.priorityClass ?? route.spec.priorityClass
  const spec = index.findClass(priorityClass)
  if (spec === undefined) throw createCallerError('header_invalid', `The header x-priority-class is "${priorityClass}": send the name of a declared priority class.`)
  const receivedAtMs = performance.now()
  return {
    requestId: headers.requestId === null ? createIncarnation() : `${headers.requestId}.${createIncarnation()}`,
    organisation,
    pool: route.spec.pool,
    route: route.name,
    priorityClass,
    enginePriority: spec.enginePriority,
    job: route.spec.job,
    repeatable: route.spec.repeatable && !headers.forbidsRepeat && headers.orderTicket === null,
    receivedAtMs,
    deadlineAtMs: receivedAtMs + Math.min(headers.timeoutMs ?? route.spec.timeoutMs, route.spec.timeoutMs),
    idempotencyKey: headers.idempotencyKey,
    orderTicket: headers.orderTicket,
    resumeFrom: headers.lastTokenNumber + 1,
    streamToken: headers.streamToken,
    relayHeaders: headers.relayHeaders
  }
}

function checkBody<S extends z.ZodType> (schema: S, text: string): z.output<S> {
  const result = schema.safeParse(parseBody(text))
  if (result.success) return result.data
  const issue = result.error.issues[0]
  throw createCallerError('bad_request', `The body's ${issue.path.join('.') || 'value'} is wrong: ${issue.message}.`)
}

function parseBody (text: string): unknown {
  if (estimateParsedBytes(text) > MAX_PARSED_BYTES) throw createCallerError('body_too_large', 'The body has too many values: send fewer.')
  try {
    return parseJson(text)
  } catch (error) {
    throw createCallerError('bad_request', (error as Error).message)
  }
}
