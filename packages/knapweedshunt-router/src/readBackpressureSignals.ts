import type http from 'node:http'
import type { BackpressureSignals } from 'knapweedshunt-admission'
import { readRetryAfter } from './readRejection.ts'

/** Header by which an endpoint says that it is about to stop. */
const LEAVING_HEADER = 'x-leaving'

/** Header in which an endpoint states how many rejections in a second it bears for want of room. */
const BRITTLE_HEADER = 'x-brittle-above'

/** Status of a request that the endpoint rejected for the time being, without running it. */
const REJECTED_STATUSES = [429, 503]

/** Reads what the head of an endpoint's response states of back-off, leaving and brittleness; values that cannot be read count as not stated. */
export function readBackpressureSignals (message: http.IncomingMessage): BackpressureSignals {
  const isRejected = REJECTED_STATUSES.includes(message.statusCode ?? 0)
  const brittleAbove = Number(message.headers[BRITTLE_HEADER] ?? Number.NaN)
  return {
    isRejected,
    backoffMs: isRejected ? readRetryAfter(message) : null,
    isLeaving: message.headers[LEAVING_HEADER] === '1',
    maxRejectionsPerS: Number.isFinite(brittleAbove) && brittleAbove >= 0 ? brittleAbove : null
  }
}
