import type { ChangedRow, TableChanges, TableFeed } from 'knapweedshunt-platform'
import { PlatformUnreachableError } from 'knapweedshunt-platform'
import { createRng, sleep } from 'knapweedshunt-utils'
import { TableFollowers } from '../directory/tableFollowers.ts'
import { ROSTER_TABLE } from '../directory/rosterRows.ts'
import { TABLE_POLL_TIMEOUT_MS, TableSharing } from '../peers/tableSharing.ts'
import { DecisionLog } from '../records/decisionLog.ts'

export const ENDPOINT_TABLE = 'endpoints'
export const RESOURCE_TABLE = 'resources'

/** Time that a call to the store or to a VM takes, in milliseconds. */
const STORE_CALL_MS = 5
const VM_CALL_MS = 1

const LOG = { debug () {}, info () {}, warn () {}, error () {} }

/** Store with long polls; counts the calls of each VM. */
export class SimulatedTables {
  #version = 1
  era = 1
  readonly #rows = new Map<string, Map<string, ChangedRow>>()
  readonly #waiting = new Set<() => void>()
  calls = 0
  /** Whether no VM gets an answer. */
  isDown = false

  put (table: string, key: string, value: unknown): void {
    const rows = this.#rows.get(table) ?? new Map<string, ChangedRow>()
    this.#rows.set(table, rows)
    rows.set(key, { key, value, version: ++this.#version, isDeleted: value === null })
    for (const wake of [...this.#waiting]) wake()
  }

  /** Feed of one VM; `isReached` says whether calls and answers pass. */
  buildFeed (isReached: () => boolean): TableFeed {
    const call = async <T>(signal: AbortSignal, read: () => Promise<T>): Promise<T> => {
      if (isReached()) this.calls++
      await sleep(STORE_CALL_MS, signal)
      const answer = isReached() && !this.isDown ? await read() : await this.#hang<T>(signal)
      return isReached() && !this.isDown ? answer : await this.#hang(signal)
    }
    return {
      readTable: (table, signal) => call(signal, async () => ({ rows: [...this.#rows.get(table)?.values() ?? []].filter(row => !row.isDeleted), version: this.#version, era: this.era })),
      pollChanges: (table, afterVersion, waitMs, signal) => call(signal, async (): Promise<TableChanges> => {
        const endsAtMs = performance.now() + waitMs
        while (!signal.aborted) {
          const rows = [...this.#rows.get(table)?.values() ?? []].filter(row => row.version > afterVersion)
          if (rows.length > 0 || performance.now() >= endsAtMs) return { type: 'changes', rows, version: this.#version, era: this.era }
          await this.#waitForChange(endsAtMs - performance.now(), signal)
        }
        throw new PlatformUnreachableError('The poll was given up.')
      })
    }
  }

  async #waitForChange (ms: number, signal: AbortSignal): Promise<void> {
    const change = new AbortController()
    const wake = () => change.abort()
    this.#waiting.add(wake)
    signal.addEventListener('abort', wake)
    await sleep(ms, change.signal)
    signal.removeEventListener('abort', wake)
    this.#waiting.delete(wake)
  }

  async #hang<T> (signal: AbortSignal): Promise<T> {
    await sleep(2 ** 30, signal)
    throw new PlatformUnreachableError('No answer.')
  }
}

/** What is wrong with a VM: `frozen` answers nothing and does nothing that others see, `gone` refuses connections, `storeless` gets nothing from the store, `mute` hears calls but its answers are lost, `late` answers after half a second, `heldUp` knows that it was held up and answers after a quarter of a second. */
export type VmFault = 'none' | 'frozen' | 'gone' | 'storeless' | 'mute' | 'late' | 'heldUp'

const FAULT_DELAY_MS = { late: 500, heldUp: 240 }

/** A VM that follows the tables, without sockets. */
export class SimulatedReader {
  readonly vm: string
  fault: VmFault = 'none'
  readonly followers: TableFollowers
  readonly sharing: TableSharing
  /** Monotonic time at which each key was last learnt of. */
  readonly learntAtMs = new Map<string, number>()
  servedPolls = 0
  readonly #abort = new AbortController()

  constructor (vm: string, dataCentre: string, tables: SimulatedTables, fleet: Map<string, SimulatedReader>, seed: number, dataCentres: number) {
    this.vm = vm
    const dataCentreOf = (name: string) => name.split('-')[0]
    this.sharing = new TableSharing({
      vm,
      dataCentre,
      nearDataCentres: Array.from({ length: dataCentres }, (_, n) => `z${n}`),
      feed: tables.buildFeed(() => this.fault !== 'storeless' && this.fault !== 'frozen' && this.fault !== 'gone'),
      decisionLog: new DecisionLog(LOG),
      minVms: 4,
      rng: createRng(seed),
      isHeldUp: () => this.fault === 'heldUp',
      isEnabled: () => true,
      listPeers: () => [...fleet.keys()].filter(name => name !== vm).map(name => ({ vm: name, dataCentre: dataCentreOf(name), address: { url: '', key: '' }, servesTables: true })),
      call: (view, _method, params) => callVm(fleet.get(view.vm), params)
    })
    const learn = (update: { rows: Array<{ key: string }> }) => { for (const { key } of update.rows) if (!this.learntAtMs.has(key)) this.learntAtMs.set(key, performance.now()) }
    this.followers = new TableFollowers({
      sharing: this.sharing,
      directoryPort: { resourceTable: RESOURCE_TABLE, endpointTable: ENDPOINT_TABLE } as never,
      log: LOG,
      rng: createRng(seed),
      onResources: learn,
      onEndpoints: learn,
      onRoster: learn
    })
  }

  start (): void {
    this.followers.run(this.#abort.signal).catch(() => {}) // Ends with the signal.
  }

  stop (): void {
    this.#abort.abort()
  }

  /** Whether it reads all tables from the store. */
  get isReading (): boolean {
    return [RESOURCE_TABLE, ENDPOINT_TABLE, ROSTER_TABLE].every(table => this.sharing.feed.isReadFromStore(table))
  }
}

async function callVm (target: SimulatedReader | undefined, params: unknown): Promise<unknown> {
  await sleep(VM_CALL_MS)
  const timeout = async () => {
    await sleep(TABLE_POLL_TIMEOUT_MS - VM_CALL_MS)
    throw new Error('timeout')
  }
  if (target === undefined || target.fault === 'gone') throw new Error('connection refused')
  if (target.fault === 'frozen') return await timeout()
  target.servedPolls++
  const answer = (async () => {
    const result = await target.sharing.handlePoll(params)
    if (target.fault === 'late' || target.fault === 'heldUp') await sleep(FAULT_DELAY_MS[target.fault])
    if (target.fault === 'mute' || target.fault === 'frozen') await sleep(2 ** 30)
    return JSON.parse(JSON.stringify(result)) as unknown
  })()
  return await Promise.race([answer, timeout()])
}

/** Starts this many VMs, evenly over the data centres. */
export function startReaders (tables: SimulatedTables, count: number, dataCentres: number): SimulatedReader[] {
  const fleet = new Map<string, SimulatedReader>()
  for (let n = 0; n < count; n++) {
    const dataCentre = `z${n % dataCentres}`
    const vm = `${dataCentre}-vm${n}`
    fleet.set(vm, new SimulatedReader(vm, dataCentre, tables, fleet, n + 1, dataCentres))
  }
  for (const vm of fleet.values()) vm.start()
  return [...fleet.values()]
}
