import type { ServerResponse } from 'node:http'
import type { PlainAnswer, StreamVersions, Usage } from 'knapweedshunt-attempts'
import { sendJsonResponse } from 'knapweedshunt-utils'
import type { BodyMemory } from 'knapweedshunt-utils'
import type { CallerErrorInstance } from './callerError.ts'
import type { CallerRequest } from './callerRequest.ts'
import type { CallerSink } from './callerSink.ts'
import { holdUntilClosed } from './holdUntilClosed.ts'
import { signStreamToken } from './signStreamToken.ts'
import { buildErrorBody, sendCallerError } from './sendCallerError.ts'
import { waitForDrain } from './waitForDrain.ts'

const SLOW_CALLER_TIMEOUT_MS = 2_000

/** Writes a result to the caller, either as numbered server-sent events or as one body. Every stream ends with `[DONE]` or an error event. */
export class ResponseSink implements CallerSink {
  readonly #response: ServerResponse
  readonly #request: CallerRequest
  readonly #isStreaming: boolean
  readonly #sharedKey: string
  readonly #memory: BodyMemory
  readonly #tokenTexts: string[] = []
  #streamToken: string | null = null
  #usage: Usage | null = null

  constructor (response: ServerResponse, request: CallerRequest, sharedKey: string, memory: BodyMemory) {
    this.#memory = memory
    this.#sharedKey = sharedKey
    this.#response = response
    this.#request = request
    this.#isStreaming = request.work.type === 'completion' && request.work.stream
  }

  startStream (versions: StreamVersions): void {
    this.#streamToken = signStreamToken({ ...versions, pool: this.#request.pool }, this.#request, this.#sharedKey)
  }

  deliver (n: number, text: string): void {
    if (!this.#isStreaming) {
      this.#tokenTexts.push(text)
      return
    }
    this.#writeHead()
    this.#write(`id: ${n}\ndata: ${JSON.stringify(this.#buildChunk(text, null))}\n\n`)
  }

  deliverAnswer (answer: PlainAnswer): void {
    this.#response.writeHead(answer.status, { 'content-type': answer.contentType, 'x-request-id': this.#request.requestId, 'x-ran': 'ran' })
    holdUntilClosed(this.#response, this.#memory, answer.body.length)
    this.#response.end(answer.body)
  }

  finish (usage: Usage | null): void {
    this.#usage = usage
    if (this.#request.work.type === 'service' || this.#response.writableEnded) return
    if (!this.#isStreaming) {
      holdUntilClosed(this.#response, this.#memory, this.#tokenTexts.reduce((sum, text) => sum + text.length, 0))
      return sendJsonResponse(this.#response, 200, this.#buildCompletion(), { 'x-request-id': this.#request.requestId })
    }
    this.#writeHead()
    this.#write(`data: ${JSON.stringify(this.#buildChunk('', 'stop'))}\n\n`)
    this.#response.end('data: [DONE]\n\n')
  }

  waitDrain (signal: AbortSignal): Promise<void> | null {
    return waitForDrain(this.#response, signal)
  }

  fail (error: CallerErrorInstance): void {
    if (this.#response.writableNeedDrain) this.#closeAfterTimeout()
    if (!this.#response.headersSent) return sendCallerError(this.#response, error, this.#request.requestId)
    this.#response.end(`event: error\ndata: ${JSON.stringify(buildErrorBody(error, this.#request.requestId))}\n\n`)
  }

  #writeHead (): void {
    if (this.#response.headersSent) return
    const token = this.#streamToken === null ? {} : { 'x-stream-token': this.#streamToken }
    this.#response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-id': this.#request.requestId, ...token })
  }

  /** Destroys the connection of a caller that does not read the end of its response within `SLOW_CALLER_TIMEOUT_MS`. */
  #closeAfterTimeout (): void {
    const timer = setTimeout(() => this.#response.destroy(), SLOW_CALLER_TIMEOUT_MS)
    this.#response.once('close', () => clearTimeout(timer))
  }

  #write (text: string): void {
    if (!this.#response.destroyed) this.#response.write(text)
  }

  #buildChunk (text: string, finishReason: string | null): object {
    const isChat = this.#isChat()
    const choice = isChat ? { index: 0, delta: { content: text }, finish_reason: finishReason } : { index: 0, text, finish_reason: finishReason }
    const usage = finishReason === null ? {} : { usage: this.#describeUsage() }
    return { id: this.#request.requestId, object: isChat ? 'chat.completion.chunk' : 'text_completion', choices: [choice], ...usage }
  }

  #buildCompletion (): object {
    const text = this.#tokenTexts.join('')
    const isChat = this.#isChat()
    const choice = isChat ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' } : { index: 0, text, finish_reason: 'stop' }
    return { id: this.#request.requestId, object: isChat ? 'chat.completion' : 'text_completion', choices: [choice], usage: this.#describeUsage() }
  }

  #isChat (): boolean {
    return this.#request.work.type === 'completion' && this.#request.work.path === '/v1/chat/completions'
  }

  #describeUsage (): object | null {
    if (this.#usage === null) return null
    const { promptTokens, completionTokens, cachedTokens } = this.#usage
    return {
      prompt_tokens: promptTokens,
      completion_tokens: completionTokens,
      total_tokens: promptTokens + completionTokens,
      prompt_tokens_details: { cached_tokens: cachedTokens }
    }
  }
}
