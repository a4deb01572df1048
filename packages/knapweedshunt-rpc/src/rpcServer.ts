import type { IncomingMessage, ServerResponse } from 'node:http'
import { JSONRPCServer } from 'json-rpc-2.0'
import type { JSONRPCRequest } from 'json-rpc-2.0'
import { isSameSecret, parseJson, readBody, sendJson } from 'knapweedshunt-utils'

/** Path on which peers call. */
export const RPC_PATH = '/rpc'

const MAX_RPC_BYTES = 16 * 1024 * 1024

/** Handles calls of the methods it was given; others are refused by the codec. */
export type RpcHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/** Methods by name. Each gets the params as sent and must check them. */
export type RpcMethods = Record<string, (params: unknown) => unknown>

/** Creates the handler. Calls without the shared key get 401 and reach no method. */
export function createRpcHandler (methods: RpcMethods, sharedKey: string): RpcHandler {
  const server = new JSONRPCServer({ errorListener: () => {} })
  for (const [name, method] of Object.entries(methods)) server.addMethod(name, method)
  return async (request, response) => {
    const given = request.headers.authorization ?? ''
    if (!isSameSecret(given, `Bearer ${sharedKey}`)) return sendJson(response, 401, { error: 'The shared key is wrong.' })
    try {
      const body = parseJson(await readBody(request, MAX_RPC_BYTES))
      const answer = await server.receive(body as JSONRPCRequest)
      if (answer) sendJson(response, 200, answer)
      else response.writeHead(204).end()
    } catch (error) {
      sendJson(response, 400, { error: (error as Error).message })
    }
  }
}
