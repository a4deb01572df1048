import type { TableUpdate } from 'knapweedshunt-platform'
import { match } from 'ts-pattern'
import type { EndpointChange, EndpointRegistry } from '../endpoints/endpointRegistry.ts'
import type { DirectoryPort } from '../ports/directoryPort.ts'
import type { GatewayConfig } from '../ports/gatewayConfig.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { UnreadableRowLog } from '../records/unreadableRowLog.ts'
import type { WeightsState } from '../weights/weightsState.ts'
import type { ConfigState } from './configState.ts'

/** Dependencies of {@link DirectoryUpdater}. */
export interface DirectoryUpdaterDependencies {
  directoryPort: DirectoryPort
  configState: ConfigState
  weightsState: WeightsState
  endpointRegistry: EndpointRegistry
  decisionLog: DecisionLog
  unreadableRowLog: UnreadableRowLog
  onConfig (config: GatewayConfig): void
  onWeights (): void
}

/** Applies the rows of the deployment's tables; rows that cannot be read are logged and otherwise ignored. */
export class DirectoryUpdater {
  readonly #dependencies: DirectoryUpdaterDependencies
  #hasEndpoints = false

  constructor (dependencies: DirectoryUpdaterDependencies) {
    this.#dependencies = dependencies
  }

  /** Whether the endpoint table was read at least once. */
  get hasEndpoints (): boolean {
    return this.#hasEndpoints
  }

  /** Applies changes to the operator's resources. */
  applyResources (update: TableUpdate): void {
    const { directoryPort, unreadableRowLog } = this.#dependencies
    for (const row of update.rows) {
      if ('isDeleted' in row && row.isDeleted) continue
      match(directoryPort.decodeResource(row))
        .with({ type: 'config' }, ({ config }) => {
          if (!this.#dependencies.configState.applyConfig(config)) return
          this.#dependencies.onConfig(config)
          this.#dependencies.decisionLog.record({ type: 'configTaken', revision: config.revision, routes: config.routes.length, organisations: config.organisations?.length ?? 0 })
        })
        .with({ type: 'weights' }, ({ weights }) => {
          const isNew = update.type === 'changes'
          if (!this.#dependencies.weightsState.applyTarget(weights, isNew)) return
          this.#dependencies.onWeights()
          this.#dependencies.decisionLog.record({ type: 'weightsWished', ...weights, isNew })
        })
        .with({ type: 'unreadable' }, ({ reason }) => unreadableRowLog.record(directoryPort.resourceTable, row, reason))
        .with({ type: 'other' }, () => {})
        .exhaustive()
    }
  }

  /** Applies changes to the endpoint table. */
  applyEndpoints (update: TableUpdate): void {
    const { directoryPort, endpointRegistry, unreadableRowLog } = this.#dependencies
    this.#hasEndpoints = true
    const results = update.rows.map(row => ({ row, result: 'isDeleted' in row && row.isDeleted ? null : directoryPort.decodeEndpoint(row) }))
    for (const { row, result } of results) if (result?.type === 'unreadable') unreadableRowLog.record(directoryPort.endpointTable, row, result.reason)
    if (update.type === 'rows') {
      const entries = results.flatMap(({ result }) => result?.type === 'endpoint' ? [result.entry] : [])
      const unreadable = results.flatMap(({ row, result }) => result?.type === 'unreadable' ? [row.key] : [])
      endpointRegistry.applySnapshot(entries, unreadable, update.storeBackForMs)
      return
    }
    endpointRegistry.applyChanges(results.map(({ row, result }) => match(result)
      .with(null, (): EndpointChange => ({ type: 'deleted', endpoint: row.key }))
      .with({ type: 'endpoint' }, ({ entry }): EndpointChange => ({ type: 'entry', entry }))
      .with({ type: 'unreadable' }, (): EndpointChange => ({ type: 'unreadable', endpoint: row.key }))
      .exhaustive()))
  }
}
