import type http from 'node:http'

const MEDIA_TYPE = 'text/event-stream'
const MIN_SUCCESS_STATUS = 200
const MIN_REDIRECT_STATUS = 300
const BODILESS_STATUSES = [204, 205]

/** Whether a response is a stream of server-sent events, so that it can go on with one that has begun. */
export function isEventStream ({ statusCode = 0, headers }: http.IncomingMessage): boolean {
  const isSuccess = statusCode >= MIN_SUCCESS_STATUS && statusCode < MIN_REDIRECT_STATUS && !BODILESS_STATUSES.includes(statusCode)
  return isSuccess && (headers['content-type']?.toLowerCase().startsWith(MEDIA_TYPE) ?? false)
}
