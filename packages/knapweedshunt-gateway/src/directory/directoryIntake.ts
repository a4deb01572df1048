import type { Row, TableNews } from 'knapweedshunt-platform'
import { match } from 'ts-pattern'
import type { EndpointBook } from '../endpoints/endpointBook.ts'
import type { DirectoryPort } from '../ports/directoryPort.ts'
import type { GatewayConfig } from '../ports/gatewayConfig.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { WeightsState } from '../weights/weightsState.ts'
import type { ConfigState } from './configState.ts'

/** What the intake is made of. */
export interface IntakeParts {
  directory: DirectoryPort
  config: ConfigState
  weights: WeightsState
  book: EndpointBook
  decisions: DecisionLog
  onConfig (config: GatewayConfig): void
  onWeights (): void
}

/** Takes the rows of the deployment's directories; rows that cannot be read are told and name nothing. */
export class DirectoryIntake {
  readonly #parts: IntakeParts
  #hasEndpoints = false

  constructor (parts: IntakeParts) {
    this.#parts = parts
  }

  /** Whether endpoints were read. */
  get hasEndpoints (): boolean {
    return this.#hasEndpoints
  }

  /** Takes the operator's rows. */
  takeResources (news: TableNews): void {
    for (const row of news.rows) {
      if ('isDeleted' in row && row.isDeleted) continue
      match(this.#parts.directory.readResource(row))
        .with({ type: 'config' }, ({ config }) => {
          if (!this.#parts.config.take(config)) return
          this.#parts.onConfig(config)
          this.#parts.decisions.record({ type: 'configTaken', revision: config.revision, routes: config.routes.length, organisations: config.organisations?.length ?? 0 })
        })
        .with({ type: 'weights' }, ({ weights }) => {
          if (!this.#parts.weights.takeWished(weights, news.type === 'changes')) return
          this.#parts.onWeights()
          this.#parts.decisions.record({ type: 'weightsWished', ...weights })
        })
        .with({ type: 'unreadable' }, ({ reason }) => this.#noteUnreadable(this.#parts.directory.resourceTable, row, reason))
        .with({ type: 'other' }, () => {})
        .exhaustive()
    }
  }

  /** Takes endpoints' rows. */
  takeEndpoints (news: TableNews): void {
    const { directory } = this.#parts
    this.#hasEndpoints = true
    const read = news.rows.map(row => ({ row, result: 'isDeleted' in row && row.isDeleted ? null : directory.readEndpoint(row) }))
    for (const { row, result } of read) if (result?.type === 'unreadable') this.#noteUnreadable(directory.endpointTable, row, result.reason)
    if (news.type === 'rows') {
      this.#parts.book.takeAll(read.flatMap(({ result }) => result?.type === 'endpoint' ? [result.entry] : []), news.isReturn)
      return
    }
    for (const { row, result } of read) {
      if (result?.type === 'endpoint') this.#parts.book.take(result.entry)
      else this.#parts.book.drop(row.key)
    }
  }

  #noteUnreadable (table: string, { key }: Row, reason: string): void {
    this.#parts.decisions.record({ type: 'rowUnreadable', table, key, reason })
  }
}
