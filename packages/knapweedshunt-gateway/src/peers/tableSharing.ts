import { TableReaders } from 'knapweedshunt-membership'
import { computeMaxServedAgeMs, DEFAULT_SHARED_TABLE_FEED_OPTIONS, SharedTableFeed, SharedTableServer } from 'knapweedshunt-platform'
import type { SharedPollResult, TableFeed, TableFollower, TableReaderOutcome, TableSource, TableUpdate } from 'knapweedshunt-platform'
import type { DataCentreId, VmId } from 'knapweedshunt-types'
import type { Rng } from 'knapweedshunt-utils'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { PeerView } from './peerAddress.ts'
import { PEER_CALL_TIMEOUT_MS } from './peerClients.ts'

const { peerWaitMs, readerWaitMs } = DEFAULT_SHARED_TABLE_FEED_OPTIONS

/** Timeout of a poll of another VM, in milliseconds. */
export const TABLE_POLL_TIMEOUT_MS = peerWaitMs + PEER_CALL_TIMEOUT_MS

/** Oldest data that a VM may have which another one hands the tables on to, in milliseconds. */
export const MAX_SHARED_AGE_MS = 2 * TABLE_POLL_TIMEOUT_MS + computeMaxServedAgeMs(readerWaitMs)

/** Number of times that a VM was held up from which on it hands no tables on; once may pass. */
export const HELD_UP_TIMES = 2

/** Time that is looked back for it, in milliseconds. */
export const HELD_UP_WITHIN_MS = 5_000

/** Dependencies of {@link TableSharing}. */
export interface TableSharingDependencies {
  vm: VmId
  dataCentre: DataCentreId
  /** Data centres of the region, including this one. */
  nearDataCentres: DataCentreId[]
  /** Feed of the store. */
  feed: TableFeed
  decisionLog: DecisionLog
  /** Number of VMs of the region from which tables are shared. */
  minVms: number
  rng: Rng
  /** Whether other VMs may be asked, and may ask this one. */
  isEnabled (): boolean
  /** Whether the process was held up again and again lately, so that answers would come too late. */
  isHeldUp (): boolean
  /** Lists the other VMs that serve calls; another list once they have changed. */
  listPeers (): PeerView[]
  /** Calls a method of another VM; throws without an answer within {@link TABLE_POLL_TIMEOUT_MS}. */
  call (view: PeerView, method: string, params: unknown): Promise<unknown>
}

/** Lets a few VMs of the region read the tables from the store, and hand their changes on to the others. */
export class TableSharing {
  readonly feed: SharedTableFeed
  readonly #server: SharedTableServer
  readonly #dependencies: TableSharingDependencies
  readonly #readers: TableReaders<PeerView>
  /** VMs of the last choice, and those among them that may be asked. */
  #peers: PeerView[] = []
  #candidates: PeerView[] = []

  constructor (dependencies: TableSharingDependencies) {
    this.#dependencies = dependencies
    this.#readers = new TableReaders(dependencies, 'tables', dependencies.minVms)
    this.feed = new SharedTableFeed(dependencies.feed, () => this.#selectSource(), dependencies.rng)
    this.#server = new SharedTableServer({ readerWaitMs, findRefusal: () => this.#findRefusal(), onAsked: () => this.#handleAsked() })
  }

  /** Adds a table that this VM follows. */
  addTable (table: string, follower: TableFollower): void {
    this.#server.addTable(table, follower)
  }

  /** Applies an update of a followed table. */
  applyUpdate (table: string, update: TableUpdate): void {
    this.#server.applyUpdate(table, update)
  }

  /** Serves a poll of another VM. */
  async handlePoll (params: unknown): Promise<SharedPollResult> {
    return await this.#server.handlePoll(params)
  }

  #findRefusal (): string | null {
    if (!this.#dependencies.isEnabled()) return 'tables not shared'
    return this.#dependencies.isHeldUp() ? 'held up' : null
  }

  #handleAsked (): boolean {
    const isFirst = this.#readers.recordAsked()
    if (isFirst) this.feed.startReading()
    return isFirst
  }

  #selectSource (): TableSource {
    const { isEnabled, call } = this.#dependencies
    if (!isEnabled()) return { type: 'store', hasFollowers: false }
    const choice = this.#readers.choose(this.#listCandidates())
    if (choice.type === 'self') return { type: 'store', hasFollowers: choice.hasFollowers }
    const { candidate } = choice
    return {
      type: 'reader',
      reader: {
        vm: candidate.vm,
        ask: params => call(candidate, 'tables.changes', params),
        recordOutcome: outcome => this.#recordOutcome(candidate.vm, outcome)
      }
    }
  }

  /** The same list as long as the VMs are the same. */
  #listCandidates (): PeerView[] {
    const { nearDataCentres, listPeers } = this.#dependencies
    const peers = listPeers()
    if (peers === this.#peers) return this.#candidates
    this.#peers = peers
    this.#candidates = peers.filter(peer => peer.servesTables && nearDataCentres.includes(peer.dataCentre))
    return this.#candidates
  }

  #recordOutcome (vm: VmId, outcome: TableReaderOutcome): void {
    if (outcome.type === 'answered') this.#readers.recordAnswer(vm)
    else if (this.#readers.recordFailure(vm, outcome.type === 'silent')) this.#dependencies.decisionLog.record({ type: 'tableReaderLeft', vm, reason: outcome.reason })
  }
}
