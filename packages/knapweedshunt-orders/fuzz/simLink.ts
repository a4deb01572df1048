import type { MemoryPlatform } from 'knapweedshunt-fakes'
import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Platform, Transaction, TransactionResult } from 'knapweedshunt-platform'
import type { Step } from './faults.ts'
import { actAs } from './ownTimers.ts'

/** A router's way to the platform: ends with the router, stops while it is paused, and can be cut before or after a write took effect. */
export class SimLink implements Platform {
  readonly #memory: MemoryPlatform
  readonly #waitAwake: () => Promise<void>
  readonly #take: (step: Step) => void
  cut = false

  constructor (memory: MemoryPlatform, waitAwake: () => Promise<void>, take: (step: Step) => void) {
    this.#memory = memory
    this.#waitAwake = waitAwake
    this.#take = take
  }

  read: Platform['read'] = (table, key) => this.#call(() => this.#memory.read(table, key))
  scan: Platform['scan'] = request => this.#call(() => this.#memory.scan(request))
  getObject: Platform['getObject'] = name => this.#call(() => this.#memory.getObject(name))
  putObject: Platform['putObject'] = (name, text) => this.#call(() => this.#memory.putObject(name, text))
  listVms: Platform['listVms'] = () => this.#call(() => this.#memory.listVms())

  transact: Platform['transact'] = async transaction => {
    const isClaim = transaction.writes.some(write => write.table === 'orders')
    this.#take(isClaim ? 'claim-sent' : 'record-sent')
    const result = await this.#call(() => this.#transact(transaction))
    this.#take(isClaim ? 'claim-answered' : 'record-answered')
    await this.#waitAwake()
    return result
  }

  #transact (transaction: Transaction): Promise<TransactionResult> {
    return this.#memory.transact(transaction)
  }

  async #call<T> (send: () => Promise<T>): Promise<T> {
    await this.#waitAwake()
    if (this.cut) throw new PlatformUnreachableError('The platform is cut off.')
    try {
      const result = await actAs(null, send)
      if (this.cut) throw new PlatformUnreachableError('The platform is cut off.')
      return result
    } finally {
      await this.#waitAwake()
    }
  }
}
