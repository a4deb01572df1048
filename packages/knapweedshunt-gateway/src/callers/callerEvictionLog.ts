import type { ConnectionEviction, ServerName } from '../records/decision.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { GatewayMetrics } from '../records/gatewayMetrics.ts'
import type { EvictionReason } from './callerMemory.ts'

/** Interval of log lines of one reason, in milliseconds. */
const WINDOW_MS = 1_000

/** Counts callers of a server that gave way, and logs them: one line a second for each reason. */
export class CallerEvictionLog {
  readonly #server: ServerName
  readonly #metrics: GatewayMetrics
  readonly #decisionLog: DecisionLog
  readonly #pending = new Map<EvictionReason | ConnectionEviction, { count: number, bytes: number, connections: number }>()
  #timer: NodeJS.Timeout | null = null

  constructor (server: ServerName, metrics: GatewayMetrics, decisionLog: DecisionLog) {
    this.#server = server
    this.#metrics = metrics
    this.#decisionLog = decisionLog
  }

  /** Records a body or a connection that gave way, with the bytes that it held, and the number of connections then. */
  record (reason: EvictionReason | ConnectionEviction, bytes: number, connections: number): void {
    this.#metrics.recordCallerEviction(this.#server, reason)
    const sum = this.#pending.get(reason)
    this.#pending.set(reason, { count: (sum?.count ?? 0) + 1, bytes: (sum?.bytes ?? 0) + bytes, connections })
    this.#timer ??= setTimeout(() => this.#write(), WINDOW_MS).unref()
  }

  #write (): void {
    this.#timer = null
    for (const [reason, { count, bytes, connections }] of this.#pending) this.#decisionLog.record({ type: 'callersEvicted', server: this.#server, reason, count, bytes, connections })
    this.#pending.clear()
  }
}
