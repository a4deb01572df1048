import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Platform, Row } from 'knapweedshunt-platform'
import type { PoolVersionsRow } from '../directory/rosterRows.ts'
import { STREAM_TABLE } from '../peers/streamRow.ts'

/** Time until a call, or its answer, arrives, in milliseconds. */
const CALL_MS = 3

/** Simulates the rows of pools and streams in the store, which can go back to a copy. */
export class SimulatedStore {
  #poolRows = new Map<string, PoolVersionsRow>()
  #streamRows = new Map<string, Row>()
  #copy = { poolRows: this.#poolRows, streamRows: this.#streamRows }
  #rowVersion = 0

  setPoolRow (row: PoolVersionsRow): void {
    this.#poolRows.set(row.pool, row)
  }

  listPoolRows (): PoolVersionsRow[] {
    return [...this.#poolRows.values()]
  }

  /** Keeps the rows, to which {@link restore} returns. */
  copy (): void {
    this.#copy = { poolRows: new Map(this.#poolRows), streamRows: new Map(this.#streamRows) }
  }

  restore (): void {
    this.#poolRows = new Map(this.#copy.poolRows)
    this.#streamRows = new Map(this.#copy.streamRows)
  }

  /** Builds the store as one VM reaches it. A write without an answer may have been carried out. */
  buildPlatform (canReach: () => boolean): Platform {
    const call = async <T>(perform: () => T): Promise<T> => {
      await new Promise(resolve => setTimeout(resolve, CALL_MS))
      if (!canReach()) throw new PlatformUnreachableError('no answer')
      const answer = perform()
      await new Promise(resolve => setTimeout(resolve, CALL_MS))
      if (!canReach()) throw new PlatformUnreachableError('answer lost')
      return answer
    }
    return {
      read: async () => null,
      scan: async ({ table, prefix = '', after = '', limit }) => await call(() => table !== STREAM_TABLE ? [] : [...this.#streamRows.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1).slice(0, limit)),
      transact: async ({ writes }) => await call(() => {
        for (const write of writes) {
          if (write.type === 'delete') this.#streamRows.delete(write.key)
          else this.#streamRows.set(write.key, { key: write.key, version: ++this.#rowVersion, value: structuredClone(write.value) })
        }
        return { type: 'committed' as const }
      }),
      getObject: async () => null,
      putObject: async () => {},
      listVms: async () => []
    }
  }
}
