import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { TableChanges, TableFeed, TableSnapshot } from 'knapweedshunt-platform'
import { sleep } from 'knapweedshunt-utils'
import type { MemoryTables } from './memoryTables.ts'

/** Faults of the change feed of one client; all may be changed at any time. */
export interface FeedFaults {
  /** Calls fail at once. */
  isDown: boolean
  /** Calls get no answer. */
  isSilent: boolean
}

const LATENCY_MS = 1

/** Change feed of in-memory tables, as one client sees it, with fault injection. */
export class MemoryFeed implements TableFeed {
  readonly faults: FeedFaults = { isDown: false, isSilent: false }
  readonly #tables: MemoryTables
  /** Incremented to silence the polls that are open. */
  #connectionEpoch = 0

  constructor (tables: MemoryTables) {
    this.#tables = tables
  }

  /** Polls that are open now get no answer; later calls are answered. */
  silenceOpenPolls (): void {
    this.#connectionEpoch++
  }

  async readTable (table: string, signal: AbortSignal): Promise<TableSnapshot> {
    await this.#simulateFaults(signal)
    return structuredClone({ rows: this.#tables.scan({ table, limit: Infinity }), version: this.#tables.version, era: this.#tables.era })
  }

  async pollChanges (table: string, afterVersion: number, waitMs: number, signal: AbortSignal): Promise<TableChanges> {
    const epoch = this.#connectionEpoch
    await this.#simulateFaults(signal)
    if (afterVersion > this.#tables.version) return { type: 'historyLost' }
    if (this.#tables.listChanges(table, afterVersion).length === 0) await this.#waitForChange(table, afterVersion, waitMs, signal)
    if (epoch !== this.#connectionEpoch) await waitForAbort(signal)
    await this.#simulateFaults(signal)
    if (afterVersion > this.#tables.version) return { type: 'historyLost' }
    return structuredClone({ type: 'changes', rows: this.#tables.listChanges(table, afterVersion), version: this.#tables.version, era: this.#tables.era })
  }

  async #waitForChange (table: string, afterVersion: number, waitMs: number, signal: AbortSignal): Promise<void> {
    const changed = new AbortController()
    const stopWatching = this.#tables.watch(() => {
      if (this.#tables.version < afterVersion || this.#tables.listChanges(table, afterVersion).length > 0) changed.abort()
    })
    await sleep(waitMs, AbortSignal.any([signal, changed.signal]))
    stopWatching()
  }

  async #simulateFaults (signal: AbortSignal): Promise<void> {
    await sleep(LATENCY_MS, signal)
    if (this.faults.isSilent) await waitForAbort(signal)
    if (this.faults.isDown || signal.aborted) throw new PlatformUnreachableError('The feed did not answer (injected fault).')
  }
}

async function waitForAbort (signal: AbortSignal): Promise<never> {
  if (!signal.aborted) await new Promise(resolve => signal.addEventListener('abort', resolve, { once: true }))
  throw new PlatformUnreachableError('The feed did not answer before the caller gave up (injected fault).')
}
