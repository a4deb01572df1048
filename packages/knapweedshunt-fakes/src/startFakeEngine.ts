import http from 'node:http'
import type { Socket } from 'node:net'
import { closeServer, listen, sendJsonResponse } from 'knapweedshunt-utils'
import { DEFAULT_ENGINE_OPTIONS } from './engineOptions.ts'
import type { EngineOptions } from './engineOptions.ts'
import { EngineState } from './engineState.ts'
import { serveCompletion } from './serveCompletion.ts'
import { serveManagement } from './serveManagement.ts'

/** A running fake engine. */
export interface FakeEngine {
  url: string
  state: EngineState
  /** Closes all connections and restarts at once as a new incarnation with an empty cache, at the same address. */
  crash (): void
  stop (): Promise<void>
}

/** Starts a fake engine; omitted options take {@link DEFAULT_ENGINE_OPTIONS}. */
export async function startFakeEngine (options: Partial<EngineOptions> = {}): Promise<FakeEngine> {
  const state = new EngineState({ ...DEFAULT_ENGINE_OPTIONS, ...options })
  const sockets = new Set<Socket>()
  const server = http.createServer((request, response) => {
    const done = request.url?.startsWith('/manage/') ? serveManagement(state, request, response) : serveCompletion(state, request, response, crash)
    done.catch(error => sendJsonResponse(response, 400, { error: { message: (error as Error).message } }))
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  })
  function crash () {
    state.restart()
    for (const socket of sockets) socket.destroy()
  }
  const url = await listen(server, state.options)
  return { url, state, crash, stop: () => closeServer(server) }
}
