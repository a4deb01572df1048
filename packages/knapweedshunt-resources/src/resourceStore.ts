import type { Platform, Row, Transaction } from 'knapweedshunt-platform'
import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Resource, ResourceChange, ResourceOp, ResourceSnapshot, Revision } from 'knapweedshunt-types'
import { applyOps } from './applyOps.ts'
import { checkDeletes } from './checkDeletes.ts'
import { checkReferences } from './checkReferences.ts'
import { ResourceUnsettledError } from './resourceErrors.ts'
import { buildTransaction, CHANGE_ID_PREFIX, CHANGE_PREFIX, HEAD_KEY, nameChange, RESOURCE_TABLE, ROW_PREFIX } from './storeRows.ts'
import type { Head } from './storeRows.ts'
import { DEFAULT_STORE_OPTIONS } from './storeOptions.ts'
import type { StoreOptions } from './storeOptions.ts'

const SCAN_LIMIT = 100_000
const CHANGES_LIMIT = 1_000
const MAX_RACES = 10
const MAX_SNAPSHOT_READS = 5

/** A change an operator asks for. */
export interface ChangeRequest {
  changeId: string
  ops: ResourceOp[]
  /** The newest revision the operator knows; null when any will do. */
  expectedRevision: Revision | null
  /** Throws when the operator may not change what is there. */
  check?: (present: Resource[]) => void
}

/** Outcome of a {@link ChangeRequest}. */
export type ChangeResult =
  | { type: 'accepted', revision: Revision }
  /** Another operator was first; `revision` is the newest one. */
  | { type: 'raced', revision: Revision }

/** Declared resources in the platform's tables. Every accepted change is one transaction with one global revision. */
export class ResourceStore {
  readonly #platform: Platform
  readonly #options: StoreOptions

  constructor (platform: Platform, options: StoreOptions = DEFAULT_STORE_OPTIONS) {
    this.#platform = platform
    this.#options = options
  }

  /** Newest accepted revision. */
  async readHead (): Promise<Revision> {
    return (await this.#readHeadRow()).revision
  }

  /** Accepted changes after a revision, oldest first and without a gap; null when the next one was compacted. */
  async readChangesAfter (revision: Revision): Promise<ResourceChange[] | null> {
    const rows = await this.#platform.scan({ table: RESOURCE_TABLE, prefix: CHANGE_PREFIX, after: nameChange(revision), limit: CHANGES_LIMIT })
    const changes = rows.map(row => row.value as ResourceChange)
    if (changes.length > 0 && changes[0].revision !== revision + 1) return null
    const gapAt = changes.findIndex((change, at) => change.revision !== revision + 1 + at)
    return gapAt === -1 ? changes : changes.slice(0, gapAt)
  }

  /** All resources at one revision, also while others write: rows read at no single time, brought forward by the changes since the read began. */
  async readSnapshot (): Promise<ResourceSnapshot> {
    for (let attempt = 0; attempt < MAX_SNAPSHOT_READS; attempt++) {
      const revision = await this.readHead()
      const rows = await this.#readRows()
      const changes = await this.readChangesAfter(revision)
      if (changes === null) continue
      const resources = changes.reduce((present, change) => applyOps(present, change.ops, change.revision), rows)
      return { revision: revision + changes.length, resources }
    }
    throw new ResourceUnsettledError('The resources change faster than they can be read: ask again.')
  }

  /** Accepts a change. Throws ResourceInvalidError, or ResourceUnsettledError when the platform gave no answer. */
  async change (request: ChangeRequest): Promise<ChangeResult> {
    try {
      return await this.#changeSettled(request)
    } catch (cause) {
      if (!(cause instanceof PlatformUnreachableError)) throw cause
      throw new ResourceUnsettledError('The platform did not answer: ask again with the same change id.', { cause })
    }
  }

  /** Deletes changes and change ids that are older than the options keep. A platform that does not answer is asked again at the next compaction. */
  async compact (): Promise<void> {
    const head = await this.readHead()
    const changesUpTo = head - this.#options.keptChanges
    const idsUpTo = head - this.#options.keptChangeIds
    const changes = await this.#platform.scan({ table: RESOURCE_TABLE, prefix: CHANGE_PREFIX, limit: CHANGES_LIMIT })
    const ids = idsUpTo < 1 ? [] : await this.#platform.scan({ table: RESOURCE_TABLE, prefix: CHANGE_ID_PREFIX, limit: SCAN_LIMIT })
    const old = [
      ...changes.filter(row => (row.value as ResourceChange).revision <= changesUpTo),
      ...ids.filter(row => (row.value as { revision: Revision }).revision <= idsUpTo)
    ]
    if (old.length === 0) return
    const writes: Transaction['writes'] = old.map(row => ({ type: 'delete', table: RESOURCE_TABLE, key: row.key }))
    await this.#platform.transact({ checks: [], writes })
  }

  async #changeSettled (request: ChangeRequest): Promise<ChangeResult> {
    for (let race = 0; race < MAX_RACES; race++) {
      const known = await this.#readByChangeId(request.changeId)
      if (known !== null) return { type: 'accepted', revision: known }
      const head = await this.#readHeadRow()
      if (request.expectedRevision !== null && request.expectedRevision !== head.revision) return this.#settleRaced(request.changeId, head.revision)
      const result = await this.#commit(request, head)
      if (result.type === 'raced') continue
      await this.#compactSometimes(result.revision)
      return result
    }
    return { type: 'raced', revision: await this.readHead() }
  }

  /** A former request with this id may have taken effect between the two reads. */
  async #settleRaced (changeId: string, revision: Revision): Promise<ChangeResult> {
    const known = await this.#readByChangeId(changeId)
    return known === null ? { type: 'raced', revision } : { type: 'accepted', revision: known }
  }

  async #commit (request: ChangeRequest, head: Head): Promise<ChangeResult> {
    const revision = head.revision + 1
    const rows = await this.#readRows()
    request.check?.(rows)
    checkDeletes(rows, request.ops)
    checkReferences(applyOps(rows, request.ops, revision))
    try {
      const result = await this.#platform.transact(buildTransaction(request.changeId, request.ops, head))
      return { type: result.type === 'committed' ? 'accepted' : 'raced', revision }
    } catch (cause) {
      const known = await this.#readByChangeId(request.changeId)
      if (known !== null) return { type: 'accepted', revision: known }
      throw cause
    }
  }

  async #compactSometimes (revision: Revision): Promise<void> {
    if (revision % this.#options.compactEvery !== 0) return
    try {
      await this.compact()
    } catch (error) {
      if (!(error instanceof PlatformUnreachableError)) throw error
    }
  }

  async #readRows (): Promise<Resource[]> {
    const rows = await this.#platform.scan({ table: RESOURCE_TABLE, prefix: ROW_PREFIX, limit: SCAN_LIMIT })
    return rows.map(row => row.value as Resource)
  }

  async #readHeadRow (): Promise<Head> {
    const row = await this.#platform.read(RESOURCE_TABLE, HEAD_KEY)
    if (row === null) return { version: 0, revision: 0 }
    return { version: row.version, revision: (row.value as { revision: Revision }).revision }
  }

  async #readByChangeId (changeId: string): Promise<Revision | null> {
    const row: Row | null = await this.#platform.read(RESOURCE_TABLE, CHANGE_ID_PREFIX + changeId)
    return row === null ? null : (row.value as { revision: Revision }).revision
  }
}
