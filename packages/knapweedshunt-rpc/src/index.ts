/** JSON-RPC 2.0 over HTTP keep-alive, authenticated by a shared key. */
export * from './rpcClient.ts'
export * from './rpcError.ts'
export * from './rpcServer.ts'
