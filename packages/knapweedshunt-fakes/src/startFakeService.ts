import http from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { LoadReport } from 'knapweedshunt-types'
import { closeServer, createIncarnation, listen, readBody, sendJsonResponse, sleep } from 'knapweedshunt-utils'
import type { ListenOptions } from 'knapweedshunt-utils'

/** Options of a fake service. */
export interface ServiceOptions extends ListenOptions {
  endpoint: string
  /** Duration of one call, in milliseconds. */
  callDurationMs: number
  /** Answer a repeated `Idempotency-Key` with the stored answer instead of running the call again. */
  checksIdempotencyKeys: boolean
}

/** Defaults for tests: a fast service on the loopback address and a free port. */
export const DEFAULT_SERVICE_OPTIONS: ServiceOptions = { host: '127.0.0.1', port: 0, endpoint: 'service', callDurationMs: 1, checksIdempotencyKeys: false }

/** Faults that the fake service injects; all may be changed at any time. */
export interface ServiceFaults {
  /** Reset the connection before running the call. */
  resetBefore: boolean
  /** Run the call, then reset the connection. */
  resetAfter: boolean
  /** Accept the call, but neither run nor answer it. */
  hang: boolean
}

/** A running fake service. */
export interface FakeService {
  url: string
  faults: ServiceFaults
  /** Number of executions by request body. */
  executions: Map<string, number>
  /** Closes all connections and continues as a new incarnation at the same address. */
  crash (): void
  stop (): Promise<void>
}

const MAX_BODY_BYTES = 1024 * 1024

/** Starts a fake service that counts executions per request body, so that tests can detect repeated runs. */
export async function startFakeService (options: Partial<ServiceOptions> = {}): Promise<FakeService> {
  const settings = { ...DEFAULT_SERVICE_OPTIONS, ...options }
  const faults: ServiceFaults = { resetBefore: false, resetAfter: false, hang: false }
  const executions = new Map<string, number>()
  const answersByKey = new Map<string, string>()
  const sockets = new Set<Socket>()
  let incarnation = createIncarnation()
  let running = 0

  async function serveCall (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request, MAX_BODY_BYTES)
    const key = String(request.headers['idempotency-key'] ?? '')
    const storedAnswer = settings.checksIdempotencyKeys ? answersByKey.get(key) : undefined
    if (storedAnswer !== undefined) return sendJsonResponse(response, 200, JSON.parse(storedAnswer))
    if (faults.hang) return
    if (faults.resetBefore) return response.destroy() as unknown as void
    running++
    await sleep(settings.callDurationMs)
    running--
    executions.set(body, (executions.get(body) ?? 0) + 1)
    const answer = { done: true, endpoint: settings.endpoint, run: executions.get(body) }
    if (key !== '') answersByKey.set(key, JSON.stringify(answer))
    if (faults.resetAfter) return response.destroy() as unknown as void
    sendJsonResponse(response, 200, answer)
  }

  function reportLoad (): LoadReport {
    return { endpoint: settings.endpoint, incarnation, weightsVersion: null, running, queued: 0, queuedTokens: 0, atMs: Date.now() }
  }

  async function serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    switch (`${request.method} ${request.url}`) {
      case 'GET /manage/load':
        return sendJsonResponse(response, 200, reportLoad())
      case 'GET /manage/executions':
        return sendJsonResponse(response, 200, Object.fromEntries(executions))
      case 'PUT /manage/faults':
        Object.assign(faults, JSON.parse(await readBody(request, MAX_BODY_BYTES)))
        return sendJsonResponse(response, 200, faults)
      default:
        return serveCall(request, response)
    }
  }

  const server = http.createServer((request, response) => {
    serve(request, response).catch(error => sendJsonResponse(response, 400, { error: (error as Error).message }))
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  })
  function crash () {
    incarnation = createIncarnation()
    running = 0
    for (const socket of sockets) socket.destroy()
  }
  const url = await listen(server, settings)
  return { url, faults, executions, crash, stop: () => closeServer(server) }
}
