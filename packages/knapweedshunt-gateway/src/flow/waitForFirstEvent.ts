import type http from 'node:http'
import { EventSplitter } from './eventSplitter.ts'

/** Waits until the first event of a stream is complete, or the stream has ended without any; false if it was lost before. The bytes read are put back into the response. */
export function waitForFirstEvent (response: http.IncomingMessage): Promise<boolean> {
  if (response.destroyed) return Promise.resolve(false)
  return new Promise(resolve => {
    const splitter = new EventSplitter()
    const chunks: Buffer[] = []
    const settle = (hasEvent: boolean) => {
      response.removeListener('readable', onReadable)
      response.removeListener('end', onEnd)
      response.removeListener('close', onEnd)
      if (hasEvent && chunks.length > 0) response.unshift(Buffer.concat(chunks))
      resolve(hasEvent)
    }
    const onReadable = () => {
      for (let chunk = response.read() as Buffer | null; chunk !== null; chunk = response.read() as Buffer | null) {
        chunks.push(chunk)
        if (splitter.addChunk(chunk).length > 0) return settle(true)
      }
    }
    const onEnd = () => settle(chunks.length === 0 && response.complete)
    response.on('readable', onReadable)
    response.once('end', onEnd)
    response.once('close', onEnd)
  })
}
