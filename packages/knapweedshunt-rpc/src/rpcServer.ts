import type { IncomingMessage, ServerResponse } from 'node:http'
import { JSONRPCServer } from 'json-rpc-2.0'
import type { JSONRPCRequest } from 'json-rpc-2.0'
import { estimateParsedBytes, isSameSecret, parseJson, readBody, sendJsonResponse } from 'knapweedshunt-utils'

/** HTTP path that accepts JSON-RPC calls. */
export const RPC_PATH = '/rpc'

const MAX_REQUEST_BYTES = 16 * 1024 * 1024

/** What a request may take once it is parsed, in bytes. Dense JSON takes about ten times its text. */
const MAX_PARSED_BYTES = 2 * MAX_REQUEST_BYTES

/** HTTP handler for JSON-RPC calls. An unknown method gets a JSON-RPC error. */
export type RpcHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/** Methods by name. Each method receives unvalidated params and must validate them. */
export type RpcMethods = Record<string, (params: unknown) => unknown>

/** Creates a handler. A call without the shared key is rejected with 401 before the body is read. */
export function createRpcHandler (methods: RpcMethods, sharedKey: string): RpcHandler {
  const server = new JSONRPCServer({ errorListener: () => {} })
  for (const [name, method] of Object.entries(methods)) server.addMethod(name, method)
  return async (request, response) => {
    const authorization = request.headers.authorization ?? ''
    if (!isSameSecret(authorization, `Bearer ${sharedKey}`)) return sendJsonResponse(response, 401, { error: 'The shared key is wrong.' })
    try {
      const text = await readBody(request, MAX_REQUEST_BYTES)
      if (estimateParsedBytes(text) > MAX_PARSED_BYTES) return sendJsonResponse(response, 413, { error: 'The call has too many values: send fewer.' })
      const body = parseJson(text)
      const rpcResponse = await server.receive(body as JSONRPCRequest)
      if (rpcResponse) sendJsonResponse(response, 200, rpcResponse)
      else response.writeHead(204).end()
    } catch (error) {
      sendJsonResponse(response, 400, { error: (error as Error).message })
    }
  }
}
