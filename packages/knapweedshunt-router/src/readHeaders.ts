import type { IncomingHttpHeaders } from 'node:http'
import { createCallerError } from './callerError.ts'

const MAX_KEY_CHARS = 255
const MAX_MARKS = 16
const MAX_TICKET_CHARS = 2_048
const MAX_STREAM_TOKEN_CHARS = 2_048

/** Headers that another router gets as they came; the others are built anew from the parsed request. */
const RELAYED_HEADERS = ['authorization', 'x-prefix-marks']
const REQUEST_ID_PATTERN = /^[\w.-]{1,64}$/
const KEY_PATTERN = /^[\x21-\x7e]+$/

/** Values of the request headers that callers can set; null for a header that is missing or empty. */
export interface CallerHeaders {
  /** Request ID chosen by the caller, for logs. */
  requestId: string | null
  priorityClass: string | null
  /** Timeout requested by the caller, in milliseconds. */
  timeoutMs: number | null
  /** Character offsets in a completion prompt at which nested levels end, ascending. */
  prefixMarks: number[]
  idempotencyKey: string | null
  /** Ticket sent in place of an idempotency key. */
  orderTicket: string | null
  /** Whether the caller forbids running the request more than once. */
  forbidsRepeat: boolean
  /** Number of the last token that the caller received; -1 for none. */
  lastTokenNumber: number
  /** Token from the response that began the stream; null also for a text that is too long for one. */
  streamToken: string | null
  /** Headers that another router needs to serve the request. */
  relayHeaders: Record<string, string>
}

/** Reads and validates the headers. Throws a CallerError that names header and value. */
export function readHeaders (headers: IncomingHttpHeaders): CallerHeaders {
  return {
    requestId: readRequestId(headers),
    priorityClass: readText(headers, 'x-priority-class'),
    timeoutMs: readInteger(headers, 'x-timeout-ms', 1),
    prefixMarks: readMarks(headers),
    idempotencyKey: readKey(headers),
    orderTicket: readTicket(headers),
    forbidsRepeat: readForbidsRepeat(headers),
    lastTokenNumber: readInteger(headers, 'last-event-id', 0) ?? -1,
    streamToken: readStreamToken(headers),
    relayHeaders: collectRelayHeaders(headers)
  }
}

function readText (headers: IncomingHttpHeaders, name: string): string | null {
  const value = headers[name]
  return typeof value === 'string' && value !== '' ? value : null
}

function readRequestId (headers: IncomingHttpHeaders): string | null {
  const text = readText(headers, 'x-request-id')
  if (text === null || REQUEST_ID_PATTERN.test(text)) return text
  throw createCallerError('header_invalid', 'The header x-request-id is wrong: send 1 to 64 letters, digits, dots, hyphens or underscores.')
}

function collectRelayHeaders (headers: IncomingHttpHeaders): Record<string, string> {
  return Object.fromEntries(RELAYED_HEADERS.map(name => [name, readText(headers, name)]).filter(([, value]) => value !== null))
}

function readStreamToken (headers: IncomingHttpHeaders): string | null {
  const token = readText(headers, 'x-stream-token')
  return token === null || token.length > MAX_STREAM_TOKEN_CHARS ? null : token
}

function readInteger (headers: IncomingHttpHeaders, name: string, minValue: number): number | null {
  const text = readText(headers, name)
  if (text === null) return null
  const value = Number(text)
  if (Number.isSafeInteger(value) && value >= minValue) return value
  throw createCallerError('header_invalid', `The header ${name} is "${text}": send a whole number of at least ${minValue}.`)
}

function readMarks (headers: IncomingHttpHeaders): number[] {
  const text = readText(headers, 'x-prefix-marks')
  if (text === null) return []
  const marks = text.split(',').map(Number)
  const isAscending = marks.every((mark, i) => Number.isSafeInteger(mark) && mark > (marks[i - 1] ?? 0))
  if (isAscending && marks.length <= MAX_MARKS) return marks
  throw createCallerError('header_invalid', `The header x-prefix-marks is "${text}": send up to ${MAX_MARKS} ascending character offsets, such as "1200,3400".`)
}

function readKey (headers: IncomingHttpHeaders): string | null {
  const text = readText(headers, 'idempotency-key')
  if (text === null || (text.length <= MAX_KEY_CHARS && KEY_PATTERN.test(text))) return text
  throw createCallerError('header_invalid', `The header idempotency-key has ${text.length} characters: send 1 to ${MAX_KEY_CHARS} visible ASCII characters.`)
}

function readTicket (headers: IncomingHttpHeaders): string | null {
  const text = readText(headers, 'x-order-ticket')
  if (text === null) return null
  if (headers['idempotency-key'] !== undefined) throw createCallerError('header_invalid', 'The headers idempotency-key and x-order-ticket were both sent: send one of them.')
  if (text.length <= MAX_TICKET_CHARS) return text
  throw createCallerError('header_invalid', `The header x-order-ticket has ${text.length} characters: send the ticket as POST /v1/tickets gave it.`)
}

function readForbidsRepeat (headers: IncomingHttpHeaders): boolean {
  const text = readText(headers, 'x-repeatable')
  if (text === null) return false
  if (text.toLowerCase() === 'false') return true
  throw createCallerError('header_invalid', `The header x-repeatable is "${text}": send "false" or leave it out; only the route can allow repeats.`)
}
