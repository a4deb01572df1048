import { PoolVersionHistory } from 'knapweedshunt-attempts'
import type { EndpointName, Incarnation, PoolName } from 'knapweedshunt-types'
import { groupBy } from 'knapweedshunt-utils'
import type { EndpointEntry } from './endpointTable.ts'

/** Time for which callers may resume streams of a software version that no longer serves, in milliseconds. */
const RETENTION_MS = 300_000

interface KnownVersion {
  incarnation: Incarnation
  softwareVersion: string
}

/** Software versions of the endpoints, as their reports and responses state them. */
export class SoftwareVersions {
  readonly #byEndpoint = new Map<EndpointName, KnownVersion>()
  readonly #history = new PoolVersionHistory(() => RETENTION_MS)

  /** Applies the endpoints of a snapshot. */
  applyEndpoints (entries: EndpointEntry[]): void {
    const names = new Set(entries.map(({ endpoint }) => endpoint))
    for (const endpoint of this.#byEndpoint.keys()) if (!names.has(endpoint)) this.#byEndpoint.delete(endpoint)
    for (const { endpoint, incarnation, softwareVersion } of entries) {
      if (softwareVersion !== null && !this.#isStatedBefore(endpoint, incarnation, softwareVersion)) this.#byEndpoint.set(endpoint, { incarnation, softwareVersion })
    }
    const serving = entries.filter(({ state }) => state !== 'dead')
    for (const [pool, members] of groupBy(serving, entry => entry.pool)) this.#history.recordPresent(pool, members.map(entry => this.#find(entry)).filter(version => version !== null))
  }

  /** Records the version that the head of a response states; empty for none. */
  recordStated (endpoint: EndpointName, pool: PoolName, incarnation: Incarnation, softwareVersion: string): void {
    this.#byEndpoint.set(endpoint, { incarnation, softwareVersion })
    this.#history.recordPresent(pool, [softwareVersion])
  }

  /** Lists the endpoints that state another version than the given one; none if that is empty. */
  listOthers (entries: EndpointEntry[], softwareVersion: string): EndpointName[] {
    if (softwareVersion === '') return []
    return entries.filter(entry => ![null, '', softwareVersion].includes(this.#find(entry))).map(({ endpoint }) => endpoint)
  }

  /** Lists the versions that may have begun streams of a pool; with an empty one if some endpoints state none. */
  listVersions (pool: PoolName): string[] {
    return this.#history.list(pool)
  }

  #find ({ endpoint, incarnation }: EndpointEntry): string | null {
    const known = this.#byEndpoint.get(endpoint)
    if (known === undefined) return null
    return incarnation === '' || known.incarnation === '' || known.incarnation === incarnation ? known.softwareVersion : null
  }

  /** Whether a response stated a version that the report leaves out. */
  #isStatedBefore (endpoint: EndpointName, incarnation: Incarnation, softwareVersion: string): boolean {
    const known = this.#byEndpoint.get(endpoint)
    return softwareVersion === '' && known?.incarnation === incarnation && known.softwareVersion !== ''
  }
}
