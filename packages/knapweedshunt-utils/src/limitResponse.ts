import type { ClientRequest } from 'node:http'
import { joinParts } from './joinParts.ts'
import { watchFraming } from './watchFraming.ts'
import { watchInformationalHeads } from './watchInformationalHeads.ts'

/**
 * Bounds what the response to a request costs beyond its bytes, whatever its server makes of it: informational heads,
 * framing, and objects for the parts of the body. To be called for each request before its connection is there.
 *
 * `onMalformed` is called at most once, with the error of a response that exceeds the bounds; `onPart` for each part of
 * the body that arrives, with its size in bytes.
 */
export function limitResponse (request: ClientRequest, onMalformed: (error: Error) => void, onPart: (bytes: number) => void = () => {}): void {
  watchInformationalHeads(request, onMalformed)
  joinParts(request, onPart)
  // It sees each part that the parser hands out, before it is joined.
  watchFraming(request, onMalformed)
}
