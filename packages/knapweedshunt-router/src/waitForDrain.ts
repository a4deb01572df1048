import type { ServerResponse } from 'node:http'

/** Resolves when the write buffer of a response has drained or `signal` has aborted; null when there is nothing to wait for. */
export function waitForDrain (response: ServerResponse, signal: AbortSignal): Promise<void> | null {
  if (response.destroyed || !response.writableNeedDrain) return null
  return new Promise(resolve => {
    const finish = () => {
      response.off('drain', finish)
      response.off('close', finish)
      signal.removeEventListener('abort', finish)
      resolve()
    }
    response.once('drain', finish)
    response.once('close', finish)
    signal.addEventListener('abort', finish, { once: true })
  })
}
