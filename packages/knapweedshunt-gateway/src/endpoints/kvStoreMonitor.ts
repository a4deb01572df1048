import type { Logger } from 'knapweedshunt-logger'
import { sleep } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import type { PromptPart } from '../ports/callerCall.ts'
import type { KvStore } from '../ports/gatewayConfig.ts'
import type { ManagementPort } from '../ports/managementPort.ts'
import { StoredPrefixIndex } from './storedPrefixIndex.ts'

/** How long the KV store may hold a long poll, in milliseconds; it allows one second. */
const LONG_POLL_MS = 1_000

/** Time beyond the long poll within which the store must answer, and pause after a failed poll, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 300

/** Time without a prompt after which the store is no longer polled, in milliseconds. */
const IDLE_TIMEOUT_MS = 3_000

/** Dependencies of {@link KvStoreMonitor}. */
export interface KvStoreMonitorDependencies {
  managementPort: ManagementPort
  log: Logger
  findStore (): KvStore | null
}

/** Monitors the KV store: an endpoint that calls an unreachable store waits a long time, and parts that the store holds need not be saved again. */
export class KvStoreMonitor {
  readonly #dependencies: KvStoreMonitorDependencies
  readonly #storedPrefixIndex = new StoredPrefixIndex()
  #isAvailable = true
  #lastUsedAtMs = -Infinity

  constructor (dependencies: KvStoreMonitorDependencies) {
    this.#dependencies = dependencies
  }

  /** Returns the address of the store; null when none is configured or it does not answer. Polling continues for a while after each call. */
  findAddress (): string | null {
    this.#lastUsedAtMs = performance.now()
    return this.#isAvailable ? this.#dependencies.findStore()?.address ?? null : null
  }

  /** Whether the store is known to hold all of these parts under a salt. */
  hasAllParts (salt: string, parts: readonly PromptPart[]): boolean {
    return this.#storedPrefixIndex.hasAllParts(salt, parts)
  }

  /** Polls the store while prompts arrive, until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const store = this.#dependencies.findStore()
      const startedAtMs = performance.now()
      if (store === null || startedAtMs - this.#lastUsedAtMs > IDLE_TIMEOUT_MS) {
        this.#storedPrefixIndex.clear()
        await sleep(RESPONSE_TIMEOUT_MS, signal)
        continue
      }
      const isAvailable = await this.#poll(store)
      if (isAvailable !== this.#isAvailable) this.#dependencies.log.info(isAvailable ? 'Kept prefixes available.' : 'Kept prefixes lost.', { address: store.address })
      this.#isAvailable = isAvailable
      const pauseMs = isAvailable ? LONG_POLL_MS - (performance.now() - startedAtMs) : RESPONSE_TIMEOUT_MS
      await sleep(Math.max(0, pauseMs), signal)
    }
  }

  /** Polls the store for changes; false when it does not answer. */
  async #poll ({ address }: KvStore): Promise<boolean> {
    const result = await this.#dependencies.managementPort.pollKvStore(address, this.#storedPrefixIndex.position, LONG_POLL_MS, RESPONSE_TIMEOUT_MS)
    return match(result)
      .with({ type: 'changes' }, ({ changes }) => {
        this.#storedPrefixIndex.applyChanges(changes)
        return true
      })
      .with({ type: 'withoutChanges' }, () => {
        this.#storedPrefixIndex.clear()
        return true
      })
      .with({ type: 'silent' }, () => {
        this.#storedPrefixIndex.clear()
        return false
      })
      .exhaustive()
  }
}
