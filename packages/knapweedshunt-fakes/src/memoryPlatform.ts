import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Platform, Row, ScanRequest, Transaction, TransactionResult } from 'knapweedshunt-platform'
import type { VmListEntry } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import { DEFAULT_PLATFORM_FAULTS } from './platformFaults.ts'
import type { PlatformFaults } from './platformFaults.ts'
import { Tables } from './tables.ts'

const MS_PER_SECOND = 1_000

/** How often each kind of call was made. */
export interface PlatformCounts {
  reads: number
  writes: number
}

/** The platform in memory, with faults to switch on. */
export class MemoryPlatform implements Platform {
  readonly tables = new Tables()
  readonly objects = new Map<string, string>()
  readonly faults: PlatformFaults = { ...DEFAULT_PLATFORM_FAULTS }
  readonly counts: PlatformCounts = { reads: 0, writes: 0 }
  vms: VmListEntry[] = []
  #writeFreeAtMs = 0

  async read (table: string, key: string): Promise<Row | null> {
    await this.#admitRead()
    return structuredClone(this.tables.read(table, key))
  }

  async scan (request: ScanRequest): Promise<Row[]> {
    await this.#admitRead()
    return structuredClone(this.tables.scan(request))
  }

  async transact (transaction: Transaction): Promise<TransactionResult> {
    await this.#admitWrite()
    if (this.faults.applyLate > 0) {
      this.faults.applyLate--
      setTimeout(() => this.tables.transact(transaction), this.faults.lateMs)
      throw new PlatformUnreachableError('The platform answers late.')
    }
    const result = this.tables.transact(transaction)
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers--
      throw new PlatformUnreachableError('The answer was lost.')
    }
    return structuredClone(result)
  }

  async getObject (name: string): Promise<string | null> {
    await this.#admitRead()
    return this.objects.get(name) ?? null
  }

  async putObject (name: string, text: string): Promise<void> {
    await this.#admitWrite()
    this.objects.set(name, text)
  }

  async listVms (): Promise<VmListEntry[]> {
    await this.#admitRead()
    return structuredClone(this.vms)
  }

  async #admitRead (): Promise<void> {
    await this.#admit()
    this.counts.reads++
  }

  async #admitWrite (): Promise<void> {
    await this.#admit()
    this.counts.writes++
    if (this.faults.writesPerS === 0) return
    const startMs = Math.max(performance.now(), this.#writeFreeAtMs)
    this.#writeFreeAtMs = startMs + MS_PER_SECOND / this.faults.writesPerS
    if (startMs > performance.now()) await sleep(startMs - performance.now())
  }

  async #admit (): Promise<void> {
    if (this.faults.delayMs > 0) await sleep(this.faults.delayMs)
    if (this.faults.down) throw new PlatformUnreachableError('The platform is down.')
  }
}
