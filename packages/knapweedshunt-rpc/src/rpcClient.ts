import http from 'node:http'
import { JSONRPCClient } from 'json-rpc-2.0'
import { callJson } from 'knapweedshunt-utils'
import { RpcError } from './rpcError.ts'
import { RPC_PATH } from './rpcServer.ts'

/** Options of a client. */
export interface RpcClientOptions {
  /** Base URL of the peer. */
  url: string
  sharedKey: string
  timeoutMs: number
}

/** Calls methods of one peer over kept-alive connections. */
export interface RpcClient {
  /** Throws RpcError. */
  call (method: string, params: unknown): Promise<unknown>
  close (): void
}

/** Creates a client; it connects at the first call. */
export function createRpcClient (options: RpcClientOptions): RpcClient {
  const agent = new http.Agent({ keepAlive: true })
  const headers = { authorization: `Bearer ${options.sharedKey}` }
  const client: JSONRPCClient = new JSONRPCClient(async request => {
    const answer = await callJson({ method: 'POST', url: options.url + RPC_PATH, body: request, headers, timeoutMs: options.timeoutMs, agent })
    if (answer.status === 200) client.receive(answer.body as never)
    else if (answer.status !== 204) throw new RpcError(`The peer answered ${answer.status}.`)
  })
  return {
    call: async (method, params) => {
      try {
        return await client.request(method, params)
      } catch (cause) {
        throw new RpcError(`${method} on ${options.url} failed.`, { cause })
      }
    },
    close: () => agent.destroy()
  }
}
