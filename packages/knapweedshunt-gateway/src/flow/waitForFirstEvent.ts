import type http from 'node:http'
import type { EventMemory } from './eventMemory.ts'
import { EventSplitter } from './eventSplitter.ts'

/** How the wait for the first event of a stream ended: `arrived` also if the stream has ended as a whole without any event, `lost` if it was cut before, `tooLong` if the event exceeds the limit of {@link EventSplitter}. */
export type FirstEventResult = 'arrived' | 'lost' | 'tooLong'

/** Waits until the first event of a stream is complete. The bytes read are put back into the response if it has arrived. */
export function waitForFirstEvent (response: http.IncomingMessage, memory: EventMemory): Promise<FirstEventResult> {
  if (response.destroyed) return Promise.resolve('lost')
  return new Promise(resolve => {
    const splitter = new EventSplitter(memory)
    const settle = (result: FirstEventResult) => {
      response.removeListener('readable', onReadable)
      response.removeListener('end', onEnd)
      response.removeListener('close', onEnd)
      splitter.release()
      resolve(result)
    }
    const onReadable = () => {
      for (let chunk = response.read() as Buffer | null; chunk !== null; chunk = response.read() as Buffer | null) {
        const { incompleteEvent } = splitter
        if (splitter.addChunk(chunk).length > 0) {
          const bytes = Buffer.concat([incompleteEvent, chunk])
          settle('arrived')
          return response.unshift(bytes)
        }
        if (splitter.isTooLong) return settle('tooLong')
      }
    }
    // Node.js sets `complete` for a body without a length also if it was destroyed.
    const onEnd = () => settle(splitter.incompleteEvent.length === 0 && response.complete && response.errored === null ? 'arrived' : 'lost')
    response.on('readable', onReadable)
    response.once('end', onEnd)
    response.once('close', onEnd)
  })
}
