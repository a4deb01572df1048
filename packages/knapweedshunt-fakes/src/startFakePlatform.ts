import http from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { ScanRequest, Transaction } from 'knapweedshunt-platform'
import type { VmListEntry } from 'knapweedshunt-types'
import { closeServer, listen, parseJson, readBody, sendJsonResponse } from 'knapweedshunt-utils'
import type { ListenOptions } from 'knapweedshunt-utils'
import { MemoryPlatform } from './memoryPlatform.ts'

/** A running fake platform; `memory` gives tests direct access to its state and faults. */
export interface FakePlatform {
  url: string
  memory: MemoryPlatform
  stop (): Promise<void>
}

const MAX_BODY_BYTES = 64 * 1024 * 1024

/** Serves a {@link MemoryPlatform} over HTTP. `PUT /faults` changes faults, `PUT /vms` replaces the VM list. */
export async function startFakePlatform (options: ListenOptions): Promise<FakePlatform> {
  const memory = new MemoryPlatform()
  const server = http.createServer((request, response) => serve(memory, request, response))
  const url = await listen(server, options)
  return { url, memory, stop: () => closeServer(server) }
}

async function serve (memory: MemoryPlatform, request: IncomingMessage, response: ServerResponse): Promise<void> {
  try {
    const text = await readBody(request, MAX_BODY_BYTES)
    const body = text === '' ? undefined : parseJson(text)
    await serveCall(memory, request, response, body)
  } catch (error) {
    if (error instanceof PlatformUnreachableError) sendJsonResponse(response, 503, { error: error.message })
    else sendJsonResponse(response, 400, { error: (error as Error).message })
  }
}

async function serveCall (memory: MemoryPlatform, request: IncomingMessage, response: ServerResponse, body: unknown): Promise<void> {
  const path = request.url ?? '/'
  const call = `${request.method} ${path}`
  if (path.startsWith('/objects/')) return serveObject(memory, request, response, body)
  switch (call) {
    case 'POST /tables/read': {
      const { table, key } = body as { table: string, key: string }
      return sendJsonResponse(response, 200, await memory.read(table, key))
    }
    case 'POST /tables/scan':
      return sendJsonResponse(response, 200, await memory.scan(body as ScanRequest))
    case 'POST /tables/transact':
      return sendJsonResponse(response, 200, await memory.transact(body as Transaction))
    case 'GET /vms':
      return sendJsonResponse(response, 200, await memory.listVms())
    case 'PUT /vms':
      memory.vms = body as VmListEntry[]
      return sendJsonResponse(response, 200, {})
    case 'PUT /faults':
      Object.assign(memory.faults, body)
      return sendJsonResponse(response, 200, memory.faults)
    case 'GET /counts':
      return sendJsonResponse(response, 200, memory.counts)
    default:
      return sendJsonResponse(response, 404, { error: `There is no ${call}.` })
  }
}

async function serveObject (memory: MemoryPlatform, request: IncomingMessage, response: ServerResponse, body: unknown): Promise<void> {
  const name = decodeURIComponent((request.url ?? '').slice('/objects/'.length))
  if (request.method === 'PUT') {
    await memory.putObject(name, (body as { text: string }).text)
    return sendJsonResponse(response, 200, {})
  }
  const text = await memory.getObject(name)
  if (text === null) sendJsonResponse(response, 404, { error: `There is no object ${name}.` })
  else sendJsonResponse(response, 200, { text })
}
