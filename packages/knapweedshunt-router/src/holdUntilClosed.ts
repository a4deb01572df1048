import type { ServerResponse } from 'node:http'
import type { BodyMemory } from 'knapweedshunt-utils'

/** Counts the bytes of a whole response as kept until the caller has read it or left. */
export function holdUntilClosed (response: ServerResponse, memory: BodyMemory, bytes: number): void {
  if (response.closed) return
  const share = memory.open()
  share.resize(bytes)
  response.once('close', () => share.release())
}
