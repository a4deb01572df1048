import { hashText } from 'knapweedshunt-utils'
import type { CallerIdentity } from '../ports/callerCall.ts'
import type { GatewayConfig, GatewayPool } from '../ports/gatewayConfig.ts'
import { RouteTable } from './routeTable.ts'

/** The configuration in force on this VM, indexed for lookups. Its revision only increases. */
export class ConfigState {
  #config: GatewayConfig | null = null
  #routes = new RouteTable([])
  #identities = new Map<string, CallerIdentity>()
  #pools = new Map<string, GatewayPool>()

  /** Configuration in force; null before the first. */
  get config (): GatewayConfig | null {
    return this.#config
  }

  /** Routes in force. */
  get routes (): RouteTable {
    return this.#routes
  }

  /** Applies a configuration; one that is not newer is ignored. Returns whether it was applied. */
  applyConfig (config: GatewayConfig): boolean {
    if (this.#config !== null && config.revision <= this.#config.revision) return false
    this.#config = config
    this.#routes = new RouteTable(config.routes)
    this.#pools = new Map(config.pools.map(pool => [pool.pool, pool]))
    this.#identities = new Map()
    for (const { organisation, keys, priority, isIsolated } of config.organisations ?? []) {
      for (const key of keys) this.#identities.set(hashText(key), { organisation, priority, isIsolated })
    }
    return true
  }

  /** Finds the caller identity of an access key. */
  findIdentity (key: string): CallerIdentity | undefined {
    return this.#identities.get(hashText(key))
  }

  /** Finds a pool by name. */
  findPool (pool: string): GatewayPool | undefined {
    return this.#pools.get(pool)
  }
}
