import type http from 'node:http'
import { ENDPOINT_ROLES } from 'knapweedshunt-types'
import type { LoadReport } from 'knapweedshunt-types'
import { requestJson } from 'knapweedshunt-utils'
import { z } from 'zod'
import type { ControlEvent } from './controlEvents.ts'

const LOAD_TIMEOUT_MS = 1_000
const MAX_VERSION_CHARS = 255
const count = z.number().nonnegative()
const loadSchema = z.object({ incarnation: z.string().min(1), weightsVersion: z.string().nullable(), running: count, queued: count, queuedTokens: count, atMs: z.number(), adapter: z.string().optional(), softwareVersion: z.string().max(MAX_VERSION_CHARS).optional(), role: z.enum(ENDPOINT_ROLES).optional() })

/** Polls an endpoint's load report. Never throws: a failed call, or an invalid report, becomes a `loadUnanswered` event. */
export async function readLoad (endpoint: string, url: string, agent: http.Agent): Promise<ControlEvent> {
  try {
    const answer = await requestJson({ method: 'GET', url: `${url}/manage/load`, timeoutMs: LOAD_TIMEOUT_MS, agent })
    const load: LoadReport = { ...loadSchema.parse(answer.body), endpoint }
    return { type: 'loadRead', load }
  } catch (error) {
    return { type: 'loadUnanswered', endpoint, isRefused: isRefused(error) }
  }
}

function isRefused (error: unknown): boolean {
  const cause = (error as { cause?: { code?: string } }).cause
  return cause?.code === 'ECONNREFUSED'
}
