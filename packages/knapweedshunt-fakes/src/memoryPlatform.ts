import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Platform, Row, ScanRequest, Transaction, TransactionResult } from 'knapweedshunt-platform'
import type { VmListEntry } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import { DEFAULT_PLATFORM_FAULTS } from './platformFaults.ts'
import type { PlatformFaults } from './platformFaults.ts'
import { MemoryTables } from './memoryTables.ts'

const MS_PER_SECOND = 1_000

/** Number of calls that reached the platform while it was up. Scans, object reads and VM lists count as reads, object writes as writes. */
export interface PlatformCounts {
  reads: number
  writes: number
}

/** In-memory platform with fault injection. */
export class MemoryPlatform implements Platform {
  /** Tables that clients with faults of their own may share. */
  readonly tables: MemoryTables
  readonly objects = new Map<string, string>()
  readonly faults: PlatformFaults = { ...DEFAULT_PLATFORM_FAULTS }
  readonly counts: PlatformCounts = { reads: 0, writes: 0 }
  vms: VmListEntry[] = []
  #nextWriteAtMs = 0

  constructor (tables = new MemoryTables()) {
    this.tables = tables
  }

  async read (table: string, key: string): Promise<Row | null> {
    await this.#beginRead()
    return structuredClone(this.tables.read(table, key))
  }

  async scan (request: ScanRequest): Promise<Row[]> {
    await this.#beginRead()
    return structuredClone(this.tables.scan(request))
  }

  async transact (transaction: Transaction): Promise<TransactionResult> {
    await this.#beginWrite()
    if (this.faults.applyLate > 0) {
      this.faults.applyLate--
      setTimeout(() => this.tables.transact(transaction), this.faults.lateMs)
      throw new PlatformUnreachableError('The platform did not answer in time; the transaction is applied later (applyLate fault).')
    }
    const result = this.tables.transact(transaction)
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers--
      throw new PlatformUnreachableError('The transaction was applied, but its answer was lost (loseAnswers fault).')
    }
    return structuredClone(result)
  }

  async getObject (name: string): Promise<string | null> {
    await this.#beginRead()
    return this.objects.get(name) ?? null
  }

  async putObject (name: string, text: string): Promise<void> {
    await this.#beginWrite()
    this.objects.set(name, text)
  }

  async listVms (): Promise<VmListEntry[]> {
    await this.#beginRead()
    return structuredClone(this.vms)
  }

  async #beginRead (): Promise<void> {
    await this.#simulateFaults()
    this.counts.reads++
  }

  async #beginWrite (): Promise<void> {
    await this.#simulateFaults()
    if (this.faults.unansweredWrites > 0) {
      this.faults.unansweredWrites--
      await new Promise(() => {}) // The caller's timeout ends the call.
    }
    this.counts.writes++
    if (this.faults.writesPerS === 0) return
    const startMs = Math.max(performance.now(), this.#nextWriteAtMs)
    this.#nextWriteAtMs = startMs + MS_PER_SECOND / this.faults.writesPerS
    if (startMs > performance.now()) await sleep(startMs - performance.now())
  }

  async #simulateFaults (): Promise<void> {
    if (this.faults.delayMs > 0) await sleep(this.faults.delayMs)
    if (this.faults.silent) await new Promise(() => {}) // The caller's timeout ends the call.
    if (this.faults.down) throw new PlatformUnreachableError('The platform is down (down fault).')
  }
}
