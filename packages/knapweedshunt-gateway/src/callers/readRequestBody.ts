import type http from 'node:http'
import { BodyBuffer } from 'knapweedshunt-utils'
import type { RequestBody } from '../endpoints/attempt.ts'
import { RETRY_OTHER_VM_MS } from '../flow/retryOtherVm.ts'
import { createCallerError } from '../shared/callerError.ts'
import type { BodyReadAhead, ReadAheadGrant } from './bodyReadAhead.ts'
import { BoundedBody } from './boundedBody.ts'
import type { BodyLimits } from './boundedBody.ts'
import { EVICTION_REASON } from './callerMemory.ts'
import type { CallerMemory, CallerShare, EvictionReason } from './callerMemory.ts'
import { discardBody, ignoreBody } from './discardBody.ts'

/** Bodies up to this size, in bytes, are buffered completely before they are sent, so that the request can be retried. */
export const MAX_BUFFERED_BODY_BYTES = 192 * 1024

/** Memory that a body takes beyond its first part while it is streamed, in bytes: a chunk in each of the streams that it passes. */
const STREAMED_BYTES = 128 * 1024

/** Where a body is kept. */
export interface BodyRoom {
  readAhead: BodyReadAhead
  memory: CallerMemory
  hasKnownKey: boolean
}

/** Reads the body of a request: completely up to {@link MAX_BUFFERED_BODY_BYTES} if the memory has room for it, otherwise the first bytes and a stream of the remainder. Throws CallerError if the body exceeds its limits, gives way to others, or the caller disconnects. */
export async function readRequestBody (request: http.IncomingMessage, limits: BodyLimits, room: BodyRoom): Promise<RequestBody> {
  const { 'content-length': length, 'transfer-encoding': coding } = request.headers
  if (length === undefined && coding === undefined) return { type: 'none' }
  if (Number(length ?? 0) > limits.maxBytes) throw createCallerError(413, 'body_too_large', `The body exceeds ${limits.maxBytes} bytes.`, { closesConnection: true })
  return await readBufferedPart(request, limits, room)
}

function readBufferedPart (request: http.IncomingMessage, limits: BodyLimits, { readAhead, memory, hasKnownKey }: BodyRoom): Promise<RequestBody> {
  return new Promise((resolve, reject) => {
    const buffer = new BodyBuffer()
    let rest: BoundedBody | null = null
    const share = memory.open({
      hasKnownKey,
      isAwaitingCaller: () => rest === null || rest.isEmpty,
      end: reason => {
        if (rest === null) {
          fail(createEvictionError(reason))
          // Each further read of them takes longer than many requests.
          if (reason === EVICTION_REASON.tinyChunks) ignoreBody(request)
        } else rest.destroy(new Error(`The body gave way to others: ${reason}.`))
      }
    })
    const fail = (error: Error) => settle(() => {
      share.release()
      reject(error)
    })
    const failSlow = (detail: string) => fail(createCallerError(408, 'body_too_slow', detail, { closesConnection: true }))
    const idleTimer = setTimeout(() => failSlow(`No data of the body arrived for ${limits.idleTimeoutMs} ms.`), limits.idleTimeoutMs)
    const wholeTimer = limits.timeoutMs === undefined ? undefined : setTimeout(() => failSlow(`The body was not complete after ${limits.timeoutMs} ms.`), limits.timeoutMs)
    const settle = (complete: () => void) => {
      clearTimeout(idleTimer)
      clearTimeout(wholeTimer)
      request.removeListener('data', onData)
      request.removeListener('end', onEnd)
      request.removeListener('close', onClose)
      complete()
    }
    const onEnd = () => settle(() => {
      share.finish()
      resolve({ type: 'buffered', bytes: buffer.join(), release: () => share.release() })
    })
    const onClose = () => fail(createCallerError(400, 'caller_left', 'The caller disconnected before the end of the body.', { closesConnection: true }))
    const onData = (chunk: Buffer) => {
      const totalBytes = buffer.length + chunk.length
      if (totalBytes > limits.maxBytes) return fail(createCallerError(413, 'body_too_large', `The body exceeds ${limits.maxBytes} bytes.`, { closesConnection: true }))
      buffer.add(chunk)
      share.recordChunk(chunk.length)
      if (share.isEnded) return
      const { capacity } = buffer
      const isKept = totalBytes <= MAX_BUFFERED_BODY_BYTES && (capacity === share.keptBytes || share.tryResize(capacity))
      if (!isKept && !share.tryResize(capacity + STREAMED_BYTES, true)) return fail(createEvictionError(EVICTION_REASON.largest))
      if (isKept) {
        idleTimer.refresh()
        return
      }
      request.pause()
      settle(() => {
        const limited = limitRest(request, limits, buffer.length, readAhead, share)
        rest = limited.rest
        const release = () => {
          limited.rest.destroy()
          limited.grant.release()
          share.release()
        }
        resolve({ type: 'streamed', firstChunks: buffer.list(), rest, release, recordPool: pool => { share.pool = pool } })
      })
    }
    request.on('data', onData)
    request.once('end', onEnd)
    request.once('close', onClose)
  })
}

/** Returns a stream of the remaining body, which fails if the body exceeds its limits or is cut off. */
function limitRest (request: http.IncomingMessage, limits: BodyLimits, readBytes: number, readAhead: BodyReadAhead, share: CallerShare): { rest: BoundedBody, grant: ReadAheadGrant } {
  const length = Math.min(Number(request.headers['content-length'] ?? limits.maxBytes), limits.maxBytes)
  const grant = readAhead.take(Math.max(0, length - readBytes) + 1)
  const rest = new BoundedBody(limits, { readBytes, aheadBytes: grant.bytes, onChunk: bytes => share.recordChunk(bytes) })
  // Errors are reported to the reader of `rest`, and to this listener if there is none.
  rest.on('error', () => {})
  const handleCut = () => { if (!request.complete) rest.destroy(new Error('The caller disconnected before the end of the body.')) }
  const handleEnd = () => share.finish()
  request.once('end', handleEnd)
  request.once('close', handleCut)
  rest.once('close', () => {
    share.finish()
    // The request lives as long as its connection; a listener would keep the body.
    request.removeListener('end', handleEnd)
    request.removeListener('close', handleCut)
    request.unpipe(rest)
    // A caller whose upload was answered early loses the answer if the connection is closed with bytes unread.
    discardBody(request, rest.errored === null ? limits.maxBytes : undefined)
  })
  request.pipe(rest)
  return { rest, grant }
}

/** The error of a body that gave way before it was sent to any endpoint. */
function createEvictionError (reason: EvictionReason): Error {
  if (reason === EVICTION_REASON.still || reason === EVICTION_REASON.connection) return createCallerError(408, 'body_too_slow', 'The body stood still while others needed its room.', { closesConnection: true })
  return createCallerError(503, 'callers_full', 'The bodies of callers take all the memory that they may.', { closesConnection: true, retryAfterMs: RETRY_OTHER_VM_MS })
}
