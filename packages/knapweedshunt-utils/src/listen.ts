import http from 'node:http'
import type { AddressInfo } from 'node:net'

/** Address that a server listens on. Port 0 selects a free port. */
export interface ListenOptions {
  host: string
  port: number
}

/** Starts listening; resolves to the base URL with the actual port. Rejects if the server cannot bind, for example because the address is in use. */
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
