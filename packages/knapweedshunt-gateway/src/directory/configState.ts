import { hashText } from 'knapweedshunt-utils'
import { DEFAULT_PAUSE_OBJECTIVE_MS, getPauseObjectiveMs } from '../flow/getPauseObjectiveMs.ts'
import type { CallerIdentity } from '../ports/callerCall.ts'
import type { GatewayConfig, GatewayPool } from '../ports/gatewayConfig.ts'
import { RouteTable } from './routeTable.ts'

/** The configuration in force on this VM, indexed for lookups. Its revision only increases. */
export class ConfigState {
  #config: GatewayConfig | null = null
  #routes = new RouteTable([])
  #identities = new Map<string, CallerIdentity>()
  #pools = new Map<string, GatewayPool>()
  #pauseObjectivesMs = new Map<string, number>()

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
    this.#pauseObjectivesMs = collectPauseObjectives(config)
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

  /** Finds the shortest pause objective of the streams that a pool serves, in milliseconds. */
  findPauseObjectiveMs (pool: string): number {
    return this.#pauseObjectivesMs.get(pool) ?? DEFAULT_PAUSE_OBJECTIVE_MS
  }
}

function collectPauseObjectives ({ routes }: GatewayConfig): Map<string, number> {
  const objectivesMs = new Map<string, number>()
  for (const route of routes.filter(({ isStream }) => isStream)) {
    for (const { pool } of route.shares) objectivesMs.set(pool, Math.min(objectivesMs.get(pool) ?? Infinity, getPauseObjectiveMs(route)))
  }
  return objectivesMs
}
