import type { Row, TableUpdate } from 'knapweedshunt-platform'
import { match } from 'ts-pattern'
import type { EndpointRegistry } from '../endpoints/endpointRegistry.ts'
import type { DirectoryPort } from '../ports/directoryPort.ts'
import type { GatewayConfig } from '../ports/gatewayConfig.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { WeightsState } from '../weights/weightsState.ts'
import type { ConfigState } from './configState.ts'

/** Dependencies of {@link DirectoryUpdater}. */
export interface DirectoryUpdaterParts {
  directory: DirectoryPort
  config: ConfigState
  weights: WeightsState
  registry: EndpointRegistry
  decisions: DecisionLog
  onConfig (config: GatewayConfig): void
  onWeights (): void
}

/** Applies the rows of the deployment's tables; rows that cannot be read are logged and otherwise ignored. */
export class DirectoryUpdater {
  readonly #parts: DirectoryUpdaterParts
  #hasEndpoints = false

  constructor (parts: DirectoryUpdaterParts) {
    this.#parts = parts
  }

  /** Whether the endpoint table was read at least once. */
  get hasEndpoints (): boolean {
    return this.#hasEndpoints
  }

  /** Applies changes to the operator's resources. */
  applyResources (news: TableUpdate): void {
    for (const row of news.rows) {
      if ('isDeleted' in row && row.isDeleted) continue
      match(this.#parts.directory.readResource(row))
        .with({ type: 'config' }, ({ config }) => {
          if (!this.#parts.config.applyConfig(config)) return
          this.#parts.onConfig(config)
          this.#parts.decisions.record({ type: 'configTaken', revision: config.revision, routes: config.routes.length, organisations: config.organisations?.length ?? 0 })
        })
        .with({ type: 'weights' }, ({ weights }) => {
          if (!this.#parts.weights.applyTarget(weights, news.type === 'changes')) return
          this.#parts.onWeights()
          this.#parts.decisions.record({ type: 'weightsWished', ...weights })
        })
        .with({ type: 'unreadable' }, ({ reason }) => this.#recordUnreadable(this.#parts.directory.resourceTable, row, reason))
        .with({ type: 'other' }, () => {})
        .exhaustive()
    }
  }

  /** Applies changes to the endpoint table. */
  applyEndpoints (news: TableUpdate): void {
    const { directory } = this.#parts
    this.#hasEndpoints = true
    const results = news.rows.map(row => ({ row, result: 'isDeleted' in row && row.isDeleted ? null : directory.readEndpoint(row) }))
    for (const { row, result } of results) if (result?.type === 'unreadable') this.#recordUnreadable(directory.endpointTable, row, result.reason)
    if (news.type === 'rows') {
      this.#parts.registry.applySnapshot(results.flatMap(({ result }) => result?.type === 'endpoint' ? [result.entry] : []), news.isAfterOutage)
      return
    }
    for (const { row, result } of results) {
      if (result?.type === 'endpoint') this.#parts.registry.applyEntry(result.entry)
      else this.#parts.registry.removeEntry(row.key)
    }
  }

  #recordUnreadable (table: string, { key }: Row, reason: string): void {
    this.#parts.decisions.record({ type: 'rowUnreadable', table, key, reason })
  }
}
