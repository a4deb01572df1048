import type { MemoryPlatform } from 'knapweedshunt-fakes'
import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Platform, Transaction, TransactionResult } from 'knapweedshunt-platform'
import type { Step } from './faults.ts'
import { runAsProcess } from './processTimers.ts'

/** Simulated connection from a router to the platform. It stops when the router crashes or is paused, and can be cut before or after a write takes effect. */
export class SimLink implements Platform {
  readonly #memory: MemoryPlatform
  readonly #waitResumed: () => Promise<void>
  readonly #recordStep: (step: Step) => void
  cut = false

  constructor (memory: MemoryPlatform, waitResumed: () => Promise<void>, recordStep: (step: Step) => void) {
    this.#memory = memory
    this.#waitResumed = waitResumed
    this.#recordStep = recordStep
  }

  read: Platform['read'] = (table, key) => this.#call(() => this.#memory.read(table, key))
  scan: Platform['scan'] = request => this.#call(() => this.#memory.scan(request))
  getObject: Platform['getObject'] = name => this.#call(() => this.#memory.getObject(name))
  putObject: Platform['putObject'] = (name, text) => this.#call(() => this.#memory.putObject(name, text))
  listVms: Platform['listVms'] = () => this.#call(() => this.#memory.listVms())

  transact: Platform['transact'] = async transaction => {
    const isClaim = transaction.writes.some(write => write.table === 'orders')
    this.#recordStep(isClaim ? 'claim-sent' : 'record-sent')
    const result = await this.#call(() => this.#transact(transaction))
    this.#recordStep(isClaim ? 'claim-answered' : 'record-answered')
    await this.#waitResumed()
    return result
  }

  #transact (transaction: Transaction): Promise<TransactionResult> {
    return this.#memory.transact(transaction)
  }

  async #call<T> (send: () => Promise<T>): Promise<T> {
    await this.#waitResumed()
    if (this.cut) throw new PlatformUnreachableError('The platform is unreachable: the connection is cut.')
    try {
      const result = await runAsProcess(null, send)
      if (this.cut) throw new PlatformUnreachableError('The platform is unreachable: the connection is cut.')
      return result
    } finally {
      await this.#waitResumed()
    }
  }
}
