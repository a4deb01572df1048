import type { ParsedRow, Platform, Row, Transaction } from 'knapweedshunt-platform'
import { LoggedRows, PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Resource, ResourceChange, ResourceOperation, ResourceSnapshot, Revision } from 'knapweedshunt-types'
import { applyOps } from './applyOps.ts'
import { checkOps } from './checkOps.ts'
import { checkReferences } from './checkReferences.ts'
import { ResourceUnsettledError } from './resourceErrors.ts'
import { parseChangeRow, parseResourceRow, parseRevisionRow } from './parseStoreRow.ts'
import { buildChangeKey, buildTransaction, CHANGE_ID_PREFIX, CHANGE_PREFIX, HEAD_KEY, RESOURCE_TABLE, ROW_PREFIX } from './storeRows.ts'
import type { Head } from './storeRows.ts'
import { DEFAULT_STORE_OPTIONS } from './storeOptions.ts'
import type { StoreOptions } from './storeOptions.ts'

const MAX_ROWS_PER_SCAN = 100_000
const MAX_CHANGES_PER_SCAN = 1_000
const MAX_COMMIT_ATTEMPTS = 10
const MAX_SNAPSHOT_ATTEMPTS = 5

/** A change that an operator requests. */
export interface ChangeRequest {
  changeId: string
  ops: ResourceOperation[]
  /** Head revision that the change is based on; another head revision rejects it. Null accepts any. */
  expectedRevision: Revision | null
  /** Called with the current resources before the commit; throws when the operator may not change them. */
  checkAccess?: (existing: Resource[]) => void
}

/** Outcome of a {@link ChangeRequest}. */
export type ChangeResult =
  | { type: 'accepted', revision: Revision }
  /** Another change was committed first; `revision` is the head revision. */
  | { type: 'raced', revision: Revision }

/** Store of the declared resources in the platform's tables. Every accepted change is one transaction and gets one global revision. Rows that cannot be read count as missing. */
export class ResourceStore {
  readonly #platform: Platform
  readonly #options: StoreOptions
  readonly #onUnreadable: (table: string, key: string, reason: string) => void
  readonly #loggedRows = new LoggedRows()

  /** `onUnreadable` is called for each row that cannot be read, once until it changes. */
  constructor (platform: Platform, options: StoreOptions = DEFAULT_STORE_OPTIONS, onUnreadable: (table: string, key: string, reason: string) => void = () => {}) {
    this.#platform = platform
    this.#options = options
    this.#onUnreadable = onUnreadable
  }

  /** Reads the newest accepted revision; 0 before the first change. */
  async readHead (): Promise<Revision> {
    return (await this.#readHeadRow()).revision
  }

  /** Reads the accepted changes after a revision, oldest first and without a gap; null when compaction has deleted the next one. */
  async readChangesAfter (revision: Revision): Promise<ResourceChange[] | null> {
    const rows = await this.#platform.scan({ table: RESOURCE_TABLE, prefix: CHANGE_PREFIX, after: buildChangeKey(revision), limit: MAX_CHANGES_PER_SCAN })
    const changes = rows.map(row => this.#parse(parseChangeRow, row)).filter(change => change !== null)
    if (changes.length > 0 && changes[0].revision !== revision + 1) return null
    const gapIndex = changes.findIndex((change, index) => change.revision !== revision + 1 + index)
    return gapIndex === -1 ? changes : changes.slice(0, gapIndex)
  }

  /** Reads all resources at one revision, also during concurrent writes: the rows are not read atomically, so the changes since the read began are applied on top of them. */
  async readSnapshot (): Promise<ResourceSnapshot> {
    for (let attempt = 0; attempt < MAX_SNAPSHOT_ATTEMPTS; attempt++) {
      const revision = await this.readHead()
      const rows = await this.#readRows()
      const changes = await this.readChangesAfter(revision)
      if (changes === null) continue
      const resources = changes.reduce((present, change) => applyOps(present, change.ops, change.revision), rows)
      return { revision: revision + changes.length, resources }
    }
    throw new ResourceUnsettledError('The resources changed too often during the read for a consistent snapshot: try again.')
  }

  /** Commits a change. Throws ResourceInvalidError, or ResourceUnsettledError when the platform did not answer. */
  async change (request: ChangeRequest): Promise<ChangeResult> {
    try {
      return await this.#changeWithRetries(request)
    } catch (cause) {
      if (!(cause instanceof PlatformUnreachableError)) throw cause
      throw new ResourceUnsettledError('The platform did not answer, so the change may or may not have been accepted: retry with the same change id.', { cause })
    }
  }

  /** Deletes changes and change ids beyond the limits in the options. When the platform does not answer, the next compaction deletes them. */
  async compact (): Promise<void> {
    const head = await this.readHead()
    const lastExpiredChangeRevision = head - this.#options.retainedChanges
    const lastExpiredIdRevision = head - this.#options.retainedChangeIds
    const changes = await this.#platform.scan({ table: RESOURCE_TABLE, prefix: CHANGE_PREFIX, limit: MAX_CHANGES_PER_SCAN })
    const changeIds = lastExpiredIdRevision < 1 ? [] : await this.#platform.scan({ table: RESOURCE_TABLE, prefix: CHANGE_ID_PREFIX, limit: MAX_ROWS_PER_SCAN })
    const expiredRows = [
      ...changes.filter(row => (this.#parse(parseChangeRow, row)?.revision ?? 0) <= lastExpiredChangeRevision),
      ...changeIds.filter(row => (this.#parse(parseRevisionRow, row)?.revision ?? 0) <= lastExpiredIdRevision)
    ]
    if (expiredRows.length === 0) return
    const writes: Transaction['writes'] = expiredRows.map(row => ({ type: 'delete', table: RESOURCE_TABLE, key: row.key }))
    await this.#platform.transact({ checks: [], writes })
  }

  async #changeWithRetries (request: ChangeRequest): Promise<ChangeResult> {
    for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt++) {
      const acceptedRevision = await this.#readByChangeId(request.changeId)
      if (acceptedRevision !== null) return { type: 'accepted', revision: acceptedRevision }
      const head = await this.#readHeadRow()
      if (request.expectedRevision !== null && request.expectedRevision !== head.revision) return this.#resolveConflict(request.changeId, head.revision)
      const result = await this.#commit(request, head)
      if (result.type === 'raced') continue
      await this.#compactWhenDue(result.revision)
      return result
    }
    return { type: 'raced', revision: await this.readHead() }
  }

  /** An earlier request with this id may have been committed between the reads of the change id and the head row. */
  async #resolveConflict (changeId: string, revision: Revision): Promise<ChangeResult> {
    const acceptedRevision = await this.#readByChangeId(changeId)
    return acceptedRevision === null ? { type: 'raced', revision } : { type: 'accepted', revision: acceptedRevision }
  }

  async #commit (request: ChangeRequest, head: Head): Promise<ChangeResult> {
    const revision = head.revision + 1
    const rows = await this.#readRows()
    request.checkAccess?.(rows)
    checkOps(rows, request.ops)
    checkReferences(applyOps(rows, request.ops, revision))
    try {
      const result = await this.#platform.transact(buildTransaction(request.changeId, request.ops, head))
      return { type: result.type === 'committed' ? 'accepted' : 'raced', revision }
    } catch (cause) {
      const acceptedRevision = await this.#readByChangeId(request.changeId)
      if (acceptedRevision !== null) return { type: 'accepted', revision: acceptedRevision }
      throw cause
    }
  }

  async #compactWhenDue (revision: Revision): Promise<void> {
    if (revision % this.#options.changesPerCompaction !== 0) return
    try {
      await this.compact()
    } catch (error) {
      if (!(error instanceof PlatformUnreachableError)) throw error
    }
  }

  async #readRows (): Promise<Resource[]> {
    const rows = await this.#platform.scan({ table: RESOURCE_TABLE, prefix: ROW_PREFIX, limit: MAX_ROWS_PER_SCAN })
    return rows.map(row => this.#parse(parseResourceRow, row)).filter(resource => resource !== null)
  }

  async #readHeadRow (): Promise<Head> {
    const row = await this.#platform.read(RESOURCE_TABLE, HEAD_KEY)
    if (row === null) return { version: 0, revision: 0 }
    return { version: row.version, revision: this.#parse(parseRevisionRow, row)?.revision ?? await this.#findNewestRevision() }
  }

  /** Finds the newest revision among the changes and resources, for a head row that cannot be read; the next change writes it again. */
  async #findNewestRevision (): Promise<Revision> {
    const changes = await this.#platform.scan({ table: RESOURCE_TABLE, prefix: CHANGE_PREFIX, limit: MAX_ROWS_PER_SCAN })
    const revisions = [...changes.map(row => this.#parse(parseChangeRow, row)?.revision ?? 0), ...(await this.#readRows()).map(resource => resource.revision)]
    return revisions.reduce((newest, revision) => Math.max(newest, revision), 0)
  }

  async #readByChangeId (changeId: string): Promise<Revision | null> {
    const row: Row | null = await this.#platform.read(RESOURCE_TABLE, CHANGE_ID_PREFIX + changeId)
    return row === null ? null : this.#parse(parseRevisionRow, row)?.revision ?? null
  }

  #parse<T> (parse: (row: Row) => ParsedRow<T>, row: Row): T | null {
    const result = parse(row)
    if (result.type === 'row') return result.value
    if (this.#loggedRows.tryAdd(RESOURCE_TABLE, row)) this.#onUnreadable(RESOURCE_TABLE, row.key, result.reason)
    return null
  }
}
