import { isJSONRPCResponse, JSONRPCClient } from 'json-rpc-2.0'
import { BodyMemory, buildCausedError, requestJson, ResponseAgent } from 'knapweedshunt-utils'
import { RpcError } from './rpcError.ts'
import { RPC_PATH } from './rpcServer.ts'

/** Size of a response, in bytes: a snapshot of all resources, or whole tables. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024

/** Memory for one response until it is parsed, where calls share none. */
const RESPONSE_MEMORY = { maxBytes: MAX_RESPONSE_BYTES, uncountedBytes: 64 * 1024 }

/** Options of {@link createRpcClient}. */
export interface RpcClientOptions {
  /** Base URL of the peer, without {@link RPC_PATH}. */
  url: string
  sharedKey: string
  timeoutMs: number
  /** Memory that responses share until they are parsed; if not set, each may take as much as the longest. */
  memory?: BodyMemory
}

/** Why the request of a call failed; the JSON-RPC library keeps only the message of the error. */
interface CallState {
  failure: unknown
}

/** JSON-RPC client of one peer; its connections are kept alive until `close`. */
export interface RpcClient {
  /** Resolves to the result of the method. Throws RpcError. */
  call (method: string, params: unknown): Promise<unknown>
  close (): void
}

/** Creates a client. It connects on the first call. */
export function createRpcClient (options: RpcClientOptions): RpcClient {
  const agent = new ResponseAgent({ keepAlive: true })
  const headers = { authorization: `Bearer ${options.sharedKey}` }
  const client: JSONRPCClient<CallState> = new JSONRPCClient<CallState>(async (request, state) => {
    const response = await requestJson({ method: 'POST', url: options.url + RPC_PATH, body: request, headers, timeoutMs: options.timeoutMs, agent, maxResponseBytes: MAX_RESPONSE_BYTES, memory: options.memory ?? new BodyMemory(RESPONSE_MEMORY) }).catch((error: unknown) => {
      state.failure = error
      throw error
    })
    // The library ignores a body that is no response to a call in progress, and the call would never settle.
    if (response.status === 200) receiveAnswer(client, request, response.body)
    else if (response.status !== 204) throw new RpcError(`Peer responded with HTTP status ${response.status}.`)
  })
  return {
    call: async (method, params) => {
      const state: CallState = { failure: null }
      try {
        return await client.request(method, params, state)
      } catch (cause) {
        throw buildCausedError(RpcError, `Call of ${method} on ${options.url} failed.`, state.failure ?? cause)
      }
    },
    close: () => agent.destroy()
  }
}

/** Settles the call that the response answers. Throws RpcError if the body does not answer the request. */
function receiveAnswer (client: JSONRPCClient<CallState>, request: { id?: unknown }, body: unknown): void {
  if (!isJSONRPCResponse(body) || body.id !== request.id) throw new RpcError('The response of the peer does not answer the call.')
  client.receive(body)
}
