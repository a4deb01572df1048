import http from 'node:http'
import type { AddressInfo } from 'node:net'

/** Where a server listens. Port 0 takes a free port. */
export interface ListenOptions {
  host: string
  port: number
}

/** Starts to listen; resolves to the base URL. Rejects when the address is taken. */
export function listen (server: http.Server, options: ListenOptions): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port, options.host, () => {
      server.removeListener('error', reject)
      const address = server.address() as AddressInfo
      resolve(`http://${options.host}:${address.port}`)
    })
  })
}
