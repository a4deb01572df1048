import type { ServerResponse } from 'node:http'
import type { PlainAnswer, StreamVersions, Usage } from 'knapweedshunt-attempts'
import type { BodyMemory } from 'knapweedshunt-utils'
import type { CallerErrorInstance } from '../callerError.ts'
import type { CallerSink } from '../callerSink.ts'
import type { CallerRequest } from '../callerRequest.ts'
import { holdUntilClosed } from '../holdUntilClosed.ts'
import { waitForDrain } from '../waitForDrain.ts'
import { buildAnswerHeader } from './relayHeaders.ts'
import { sendRelayRefusal } from './sendRelayRefusal.ts'

/** Writes a result to the router that relayed the attempt, as an engine would; the connection of a stream that fails is closed before its end. */
export class RelaySink implements CallerSink {
  readonly #response: ServerResponse
  readonly #request: CallerRequest
  readonly #memory: BodyMemory

  constructor (response: ServerResponse, request: CallerRequest, memory: BodyMemory) {
    this.#memory = memory
    this.#response = response
    this.#request = request
  }

  startStream ({ softwareVersion, weightsVersion }: StreamVersions): void {
    this.#writeHead({ 'x-software-version': softwareVersion, 'x-weights-version': weightsVersion })
  }

  deliver (n: number, text: string): void {
    this.#write(`id: ${n}\ndata: ${JSON.stringify({ text })}\n\n`)
  }

  deliverAnswer ({ status, contentType, body }: PlainAnswer): void {
    holdUntilClosed(this.#response, this.#memory, body.length)
    this.#response.writeHead(status, { 'content-type': contentType, ...buildAnswerHeader({ type: 'forwarded' }) }).end(body)
  }

  finish (usage: Usage | null): void {
    if (this.#request.work.type === 'service' || this.#response.writableEnded) return
    if (!this.#response.headersSent) this.#writeHead({})
    if (usage !== null) this.#write(`data: ${JSON.stringify({ usage: { prompt_tokens: usage.promptTokens, completion_tokens: usage.completionTokens, prompt_tokens_details: { cached_tokens: usage.cachedTokens } } })}\n\n`)
    this.#response.end('data: [DONE]\n\n')
  }

  fail (error: CallerErrorInstance): void {
    if (this.#response.headersSent) this.#response.destroy()
    else sendRelayRefusal(this.#response, error)
  }

  waitDrain (signal: AbortSignal): Promise<void> | null {
    return waitForDrain(this.#response, signal)
  }

  #writeHead (headers: Record<string, string>): void {
    this.#response.writeHead(200, { 'content-type': 'text/event-stream', ...headers, ...buildAnswerHeader({ type: 'forwarded' }) })
  }

  #write (text: string): void {
    if (!this.#response.destroyed) this.#response.write(text)
  }
}
