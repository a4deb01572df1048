import { setMaxListeners } from 'node:events'
import { sleep } from 'knapweedshunt-utils'
import { sharedPollParamsSchema } from './sharedTableMessages.ts'
import type { SharedPollResult, SharedTableAnswer, SharedTablePosition } from './sharedTableMessages.ts'
import { TableReplica } from './tableReplica.ts'
import type { TableFollower, TableUpdate } from './tableFollower.ts'

/** Longest time that a poll is held, in milliseconds, whatever the caller asks for. */
const MAX_WAIT_MS = 5_000

/** Size of the values above which the caller reads the changes from the store, in characters of JSON: links between VMs may be slow. */
const MAX_ANSWER_LENGTH = 24_000

/** Time that a poll of the store may take beyond its longest wait, in milliseconds. */
const MAX_OVERDUE_MS = 200

/** Time that a poll waits for the store to confirm the tables once this VM begins to read them, in milliseconds, and the interval at which it looks. */
const MAX_CONFIRMATION_MS = 200
const CONFIRMATION_INTERVAL_MS = 20

/** Reason that ends the wait of held polls; one for all, as an error object is costly. */
const CHANGED = new Error('A table has changed.')

/** Computes the age up to which tables are handed on, in milliseconds. Data is as old as the poll that confirmed it took, and ages while the next one is held. */
export function computeMaxServedAgeMs (readerWaitMs: number): number {
  return 2 * readerWaitMs + MAX_OVERDUE_MS
}

/** Dependencies of {@link SharedTableServer}. */
export interface SharedTableServerDependencies {
  /** Longest time that the store holds a poll of this VM, in milliseconds. */
  readerWaitMs: number
  /** Why this VM serves no polls; null if it does. */
  findRefusal (): string | null
  /** Called with each poll that is served; this VM must read the tables from the store for a while after it. Returns whether it has only begun to. */
  onAsked (): boolean
}

interface ServedTable {
  follower: Pick<TableFollower, 'position' | 'ageMs' | 'isReachable'>
  replica: TableReplica
  era: number | null
}

/** Hands the changes of followed tables on to other VMs, as long as the store confirmed them recently, to whichever VM. */
export class SharedTableServer {
  readonly #dependencies: SharedTableServerDependencies
  readonly #tables = new Map<string, ServedTable>()
  #changeController = createChangeController()
  /** Monotonic time up to which polls wait for a confirmation. */
  #confirmsUntilMs = -Infinity

  constructor (dependencies: SharedTableServerDependencies) {
    this.#dependencies = dependencies
  }

  /** Adds a table that this VM follows. */
  addTable (table: string, follower: ServedTable['follower']): void {
    this.#tables.set(table, { follower, replica: new TableReplica(), era: null })
  }

  /** Applies an update of a follower. */
  applyUpdate (table: string, update: TableUpdate): void {
    const served = this.#tables.get(table)
    const position = served?.follower.position
    if (served === undefined || position == null) return
    served.replica.applyUpdate(update, position.version, served.era !== position.era)
    served.era = position.era
    const controller = this.#changeController
    this.#changeController = createChangeController()
    controller.abort(CHANGED)
  }

  /** Serves `tables.changes`: answers once a table has changed, cannot be answered for, or the time is over. */
  async handlePoll (params: unknown): Promise<SharedPollResult> {
    const { tables, waitMs } = sharedPollParamsSchema.parse(params)
    const refusal = this.#dependencies.findRefusal()
    if (refusal !== null) return { tables: tables.map(({ table }) => buildRefusal(table, refusal, true)) }
    const startedAtMs = performance.now()
    if (this.#dependencies.onAsked()) this.#confirmsUntilMs = startedAtMs + MAX_CONFIRMATION_MS
    const endsAtMs = startedAtMs + Math.min(waitMs, MAX_WAIT_MS)
    while (true) {
      const nowMs = performance.now()
      const leftMs = endsAtMs - nowMs
      if (nowMs < this.#confirmsUntilMs && tables.some(position => this.#isOld(position.table))) {
        await sleep(CONFIRMATION_INTERVAL_MS)
        continue
      }
      const answers = tables.map(position => this.#answer(position))
      if (leftMs <= 0 || answers.some(answer => answer.type === 'unavailable' || answer.rows.length > 0)) return { tables: answers, heldMs: nowMs - startedAtMs }
      const overdueInMs = Math.min(...answers.map(answer => answer.type === 'changes' ? this.#maxAgeMs - answer.ageMs : 0))
      await sleep(Math.min(leftMs, overdueInMs + 1), this.#changeController.signal)
    }
  }

  get #maxAgeMs (): number {
    return computeMaxServedAgeMs(this.#dependencies.readerWaitMs)
  }

  #isOld (table: string): boolean {
    return (this.#tables.get(table)?.follower.ageMs ?? 0) > this.#maxAgeMs
  }

  #answer ({ table, afterVersion, era }: SharedTablePosition): SharedTableAnswer {
    const refuse = (reason: string, mustLeave: boolean) => buildRefusal(table, reason, mustLeave)
    const served = this.#tables.get(table)
    const position = served?.follower.position
    if (served === undefined || position == null || !served.follower.isReachable) return refuse('not read from the store', true)
    const ageMs = served.follower.ageMs ?? Infinity
    if (ageMs > this.#maxAgeMs) return refuse('the data is old', true)
    if (position.era !== era) return refuse('of another era', false)
    const rows = served.replica.listChangesAfter(afterVersion)
    if (rows === null) return refuse('changes not known', false)
    if (rows.length > 0 && JSON.stringify(rows).length > MAX_ANSWER_LENGTH) return refuse('too many changes', false)
    return { type: 'changes', table, rows, version: position.version, era, ageMs }
  }
}

function buildRefusal (table: string, reason: string, mustLeave: boolean): SharedTableAnswer {
  return { type: 'unavailable', table, reason, mustLeave }
}

/** Each VM that is held listens. */
function createChangeController (): AbortController {
  const controller = new AbortController()
  setMaxListeners(0, controller.signal)
  return controller
}
