import http from 'node:http'
import type { Readable } from 'node:stream'
import { CONNECTION_END, ConnectionResetError, isFinalStatus, limitResponse, ResponseAgent, startTimeout, watchBodyEnd } from 'knapweedshunt-utils'
import type { ConnectionEnd } from 'knapweedshunt-utils'
import type { PoolName } from 'knapweedshunt-types'
import { decodeRelayAnswer } from '../peers/relayHeaders.ts'
import type { RelayAnswer } from '../peers/relayAnswer.ts'
import type { EndpointPort } from '../ports/endpointPort.ts'
import type { AttemptOutcome, LossReason } from './attemptOutcome.ts'
import type { EndpointAgent } from './endpointAgent.ts'
import { LOSS_REASON } from './attemptOutcome.ts'

/** Connect timeout, in milliseconds; far above the round trip between data centres of a region, below the first retransmission of a lost SYN. */
const CONNECT_TIMEOUT_MS = 300

/** Limits for reading a body that is not needed: above them its connection is closed. */
const MAX_DISCARDED_BYTES = 64 * 1024
const MAX_DISCARD_MS = 500

/** Body of a request: absent, buffered in memory, or streamed while the rest still arrives from the caller. */
export type RequestBody =
  | { type: 'none' }
  /** `release` gives back the memory for what was read, once the request has ended. */
  | { type: 'buffered', bytes: Buffer, release: () => void }
  /** `recordPool` says at whose endpoints the body keeps a place while it arrives. */
  | { type: 'streamed', firstChunks: Buffer[], rest: Readable, release: () => void, recordPool?: (pool: PoolName) => void }

/** A request as it is sent to one endpoint, or to another VM. */
export interface AttemptCall {
  method: string
  target: string
  /** IP address and port. */
  address: string
  /** Flat name-value pairs, without hop-by-hop headers. */
  headers: string[]
  body: RequestBody
  requestId: string
  /** Whether another VM receives the request. */
  isRelayed: boolean
}

/** Sends a request once and reads the head of the response. */
export class Attempt {
  readonly outcome: Promise<AttemptOutcome>
  readonly #endpointPort: EndpointPort
  readonly #call: AttemptCall
  #request: http.ClientRequest | null = null
  #isConnected = false
  #openedAtMs: number | null = null
  #response: http.IncomingMessage | null = null
  #connectionEnd: ConnectionEnd | null = null
  #isBodyGarbled = false
  #loss: LossReason | null = null
  #settle: (outcome: AttemptOutcome) => void = () => {}
  #stopConnectTimeout = () => {}

  constructor (endpointPort: EndpointPort, agent: EndpointAgent, call: AttemptCall) {
    this.#endpointPort = endpointPort
    this.#call = call
    this.outcome = new Promise<AttemptOutcome>(resolve => { this.#settle = resolve }).then(outcome => this.#checkResponse(outcome))
    this.#send(agent)
  }

  /** Whether bytes of the request may have left this VM. */
  get isSent (): boolean {
    return this.#isConnected
  }

  /** Whether the head of a response has arrived. */
  get hasResponse (): boolean {
    return this.#response !== null
  }

  /** Monotonic time at which the connection was established, which may have served other requests before; null before that. */
  get openedAtMs (): number | null {
    return this.#openedAtMs
  }

  /** How the connection of a body ended that only this end delimits; null for any other body, and before. */
  get connectionEnd (): ConnectionEnd | null {
    return this.#connectionEnd
  }

  /** Why the body of the response is not complete, if it is not. */
  get bodyLoss (): LossReason {
    return this.#isBodyGarbled ? LOSS_REASON.garbled : LOSS_REASON.cut
  }

  /** Aborts the attempt and closes its connection; the first reason given is the one reported. */
  cancel (loss: LossReason): void {
    this.#loss ??= loss
    // After a regular close, bytes that are held up on the way would still be delivered, and the request would run.
    if (this.#isConnected && this.#response === null && this.#request?.destroyed === false) this.#request.socket?.resetAndDestroy()
    this.#request?.destroy()
  }

  #send (agent: EndpointAgent): void {
    const { method, target, address, headers, requestId } = this.#call
    const [host, port] = address.split(':')
    try {
      const needsOwnConnection = agent.hasCarried(host, Number(port), requestId)
      this.#request = http.request({ host, port: Number(port), method, path: target, headers: this.#buildHeaders(headers), agent: needsOwnConnection ? new ResponseAgent() : agent, setHost: false })
    } catch (error) {
      this.#settle({ type: 'unsent', reason: (error as Error).message })
      return
    }
    this.#request.once('socket', socket => {
      agent.recordCarried(socket, requestId)
      if (!socket.connecting) return this.#handleConnected(agent.findOpenedAtMs(socket))
      this.#stopConnectTimeout = startTimeout(CONNECT_TIMEOUT_MS, () => this.#request?.destroy(new Error(`no connection within ${CONNECT_TIMEOUT_MS} ms`)))
      socket.once('connect', () => {
        agent.recordOpened(socket)
        this.#handleConnected(agent.findOpenedAtMs(socket))
      })
    })
    limitResponse(this.#request, error => this.#handleMalformed(error), bytes => agent.recordPart(bytes))
    this.#request.once('response', response => this.#handleResponse(response))
    this.#request.once('upgrade', response => this.#handleResponse(response))
    this.#request.on('error', error => this.#handleError(error))
    this.#request.once('close', () => this.#handleError(new Error('connection closed')))
    this.#writeBody(this.#request)
  }

  #buildHeaders (headers: string[]): string[] {
    const { body } = this.#call
    if (body.type === 'buffered') return [...headers, 'Content-Length', String(body.bytes.length)]
    if (body.type === 'streamed') return [...headers, 'Transfer-Encoding', 'chunked']
    return headers
  }

  #writeBody (request: http.ClientRequest): void {
    const { body } = this.#call
    if (body.type === 'none') request.end()
    if (body.type === 'buffered') request.end(body.bytes)
    if (body.type !== 'streamed') return
    for (const chunk of body.firstChunks) request.write(chunk)
    body.rest.once('error', error => this.#handleBodyFailed(error))
  }

  /** Ends an attempt whose body its caller, or this VM, has ended; that says nothing about the endpoint. */
  #handleBodyFailed ({ message }: Error): void {
    this.#loss ??= LOSS_REASON.bodyEnded
    this.#settle({ type: 'lost', loss: this.#loss, reason: message })
    this.cancel(this.#loss)
  }

  #handleConnected (openedAtMs: number | null): void {
    this.#stopConnectTimeout()
    this.#openedAtMs = openedAtMs
    this.#isConnected = true
    // What an attempt without a connection had read of the rest would be missing in the next one.
    const { body } = this.#call
    if (body.type === 'streamed' && this.#request !== null) body.rest.pipe(this.#request)
  }

  #handleResponse (response: http.IncomingMessage): void {
    this.#response = response
    const head = this.#endpointPort.decodeResponseHead(response.headers)
    const status = response.statusCode ?? 0
    watchBodyEnd(response, end => this.#handleBodyEnd(response, end))
    response.on('error', () => {}) // The reader of the body handles the error itself.
    if (!isFinalStatus(status)) return this.#rejectResponse(`status ${status} is not that of a final response`)
    if (head.requestId !== null && head.requestId !== this.#call.requestId) return this.#rejectResponse(`response carries the id of another request: ${head.requestId}`)
    // What arrives on a connection that served another request before may be a late copy of that request's response.
    if (head.requestId === null && this.#request?.reusedSocket === true) return this.#rejectResponse('response without an id on a connection that was used before')
    const answer = this.#call.isRelayed ? decodeRelayAnswer(response.headers) : null
    if (this.#call.isRelayed && answer === null) return this.#rejectResponse(`response with status ${status} is not that of a VM`)
    if (answer?.type === 'refused') return this.#settleRefused(response, answer, status)
    if (head.isNotRun) {
      discardBody(response)
      return this.#settle({ type: 'notRun', head, status })
    }
    if (!head.isSigned) return this.#rejectResponse(`response with status ${status} is not signed by the endpoint`)
    this.#settle({ type: 'answered', head, response, relayedBy: answer })
  }

  /** Fails the body of a response whose connection was reset. */
  #handleBodyEnd (response: http.IncomingMessage, end: ConnectionEnd): void {
    this.#connectionEnd = end
    if (end === CONNECTION_END.reset) response.destroy(new ConnectionResetError('The connection was reset behind the last bytes of a body without a length.'))
  }

  #settleRefused (response: http.IncomingMessage, answer: Extract<RelayAnswer, { type: 'refused' }>, status: number): void {
    discardBody(response)
    this.#settle({ ...answer, status })
  }

  /** A body that fails in the same chunk as the head would fail before it is read. */
  #checkResponse (outcome: AttemptOutcome): AttemptOutcome {
    const error = this.#response?.errored
    return outcome.type === 'answered' && error ? { type: 'lost', loss: this.bodyLoss, reason: error.message } : outcome
  }

  #handleMalformed (error: Error): void {
    this.#isBodyGarbled = true
    this.#response?.destroy(error)
    this.#rejectResponse(error.message)
  }

  #rejectResponse (reason: string): void {
    this.#settle({ type: 'lost', loss: LOSS_REASON.garbled, reason })
    this.#request?.destroy()
  }

  #handleError (error: Error): void {
    this.#stopConnectTimeout()
    const isUnreadable = (error as NodeJS.ErrnoException).code?.startsWith('HPE_') ?? false
    // Node.js ends a body without a length as if it were complete, also after a connection reset.
    if (this.#response !== null && !this.#response.complete) {
      this.#isBodyGarbled ||= isUnreadable
      this.#response.destroy(error)
    }
    if (!this.#isConnected) return this.#settle({ type: 'unsent', reason: error.message })
    this.#settle({ type: 'lost', loss: this.#loss ?? (isUnreadable ? LOSS_REASON.garbled : LOSS_REASON.reset), reason: error.message })
  }
}

/** Reads the rest of a response, so that its connection can be used again; closes the connection if the rest is long. */
function discardBody (response: http.IncomingMessage): void {
  let remainingBytes = MAX_DISCARDED_BYTES
  const timer = setTimeout(() => response.destroy(), MAX_DISCARD_MS)
  response.once('close', () => clearTimeout(timer))
  response.on('data', (chunk: Buffer) => {
    remainingBytes -= chunk.length
    if (remainingBytes < 0) response.destroy()
  })
}
