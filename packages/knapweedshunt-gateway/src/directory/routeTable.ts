import type { GatewayRoute } from '../ports/gatewayConfig.ts'

/** Routes, indexed by host and path prefix. */
export class RouteTable {
  readonly #hosts = new Map<string, Map<string, GatewayRoute>>()

  constructor (routes: GatewayRoute[]) {
    for (const route of routes) {
      const prefixes = this.#hosts.get(route.host) ?? new Map<string, GatewayRoute>()
      this.#hosts.set(route.host, prefixes)
      prefixes.set(route.prefix, route)
    }
  }

  /** Finds the host's route with the longest prefix of the path. */
  find (host: string, path: string): GatewayRoute | undefined {
    const prefixes = this.#hosts.get(host)
    if (prefixes === undefined) return undefined
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1))
      if (route !== undefined) return route
    }
    return undefined
  }
}
