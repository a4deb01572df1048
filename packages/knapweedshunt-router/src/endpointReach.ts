import type { PoolReach } from 'knapweedshunt-membership'
import type { EndpointName, PoolName } from 'knapweedshunt-types'
import type { EndpointEntry } from './endpointTable.ts'

/** Which endpoints this router can connect to. An endpoint counts as reached until a connection fails. */
export class EndpointReach {
  readonly #unreached = new Set<EndpointName>()
  #entries = new Map<EndpointName, EndpointEntry>()

  /** Applies the endpoints of a snapshot. */
  applyEndpoints (entries: EndpointEntry[]): void {
    const previous = this.#entries
    this.#entries = new Map(entries.map(entry => [entry.endpoint, entry]))
    for (const endpoint of this.#unreached) if (this.#entries.get(endpoint)?.url !== previous.get(endpoint)?.url) this.#unreached.delete(endpoint)
  }

  /** Records whether a connection could be opened. */
  recordConnection (endpoint: EndpointName, isOpen: boolean): void {
    if (isOpen) this.#unreached.delete(endpoint)
    else if (this.#entries.has(endpoint)) this.#unreached.add(endpoint)
  }

  /** Computes how many endpoints of a pool this router can use; draining ones do not count, those reported dead count as not reached. */
  computeReach (pool: PoolName): PoolReach {
    const active = [...this.#entries.values()].filter(entry => entry.pool === pool && (entry.isUsable || entry.state === 'dead'))
    return { pool, reached: active.filter(({ endpoint, isUsable }) => isUsable && !this.#unreached.has(endpoint)).length, known: active.length }
  }

  /** Lists the reach of all pools with endpoints. */
  listReaches (): PoolReach[] {
    return [...new Set([...this.#entries.values()].map(({ pool }) => pool))].map(pool => this.computeReach(pool))
  }

  /** Lists the endpoints to which connections failed. */
  listUnreached (): EndpointEntry[] {
    return [...this.#unreached].map(endpoint => this.#entries.get(endpoint)).filter(entry => entry !== undefined)
  }
}
