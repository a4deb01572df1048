import type { Platform, Row, Transaction } from 'knapweedshunt-platform'
import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Resource, ResourceChange, ResourceOp, ResourceSnapshot, Revision } from 'knapweedshunt-types'
import { applyOps } from './applyOps.ts'
import { checkReferences } from './checkReferences.ts'
import { ResourceUnsettledError } from './resourceErrors.ts'

const TABLE = 'resources'
const HEAD_KEY = 'head'
const CHANGE_PREFIX = 'change/'
const CHANGE_ID_PREFIX = 'change-id/'
const ROW_PREFIX = 'row/'
const REVISION_DIGITS = 12
const SCAN_LIMIT = 100_000
const CHANGES_LIMIT = 1_000
const MAX_RACES = 10

/** A change an operator asks for. */
export interface ChangeRequest {
  changeId: string
  ops: ResourceOp[]
  /** The newest revision the operator knows; null when any will do. */
  expectedRevision: Revision | null
}

/** Outcome of a {@link ChangeRequest}. */
export type ChangeResult =
  | { type: 'accepted', revision: Revision }
  /** Another operator was first; `revision` is the newest one. */
  | { type: 'raced', revision: Revision }

interface Head {
  version: number
  revision: Revision
}

/** Declared resources in the platform's tables. Every accepted change is one transaction with one global revision. */
export class ResourceStore {
  readonly #platform: Platform

  constructor (platform: Platform) {
    this.#platform = platform
  }

  /** Newest accepted revision. */
  async readHead (): Promise<Revision> {
    return (await this.#readHeadRow()).revision
  }

  /** Accepted changes after a revision, oldest first. */
  async readChangesAfter (revision: Revision): Promise<ResourceChange[]> {
    const rows = await this.#platform.scan({ table: TABLE, prefix: CHANGE_PREFIX, after: nameChange(revision), limit: CHANGES_LIMIT })
    return rows.map(row => row.value as ResourceChange)
  }

  /** All resources, read until the revision did not move meanwhile. */
  async readSnapshot (): Promise<ResourceSnapshot> {
    for (;;) {
      const before = await this.readHead()
      const rows = await this.#platform.scan({ table: TABLE, prefix: ROW_PREFIX, limit: SCAN_LIMIT })
      const after = await this.readHead()
      if (before === after) return { revision: after, resources: rows.map(row => row.value as Resource) }
    }
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

  async #changeSettled (request: ChangeRequest): Promise<ChangeResult> {
    for (let race = 0; race < MAX_RACES; race++) {
      const known = await this.#readByChangeId(request.changeId)
      if (known !== null) return { type: 'accepted', revision: known }
      const head = await this.#readHeadRow()
      if (request.expectedRevision !== null && request.expectedRevision !== head.revision) return { type: 'raced', revision: head.revision }
      const result = await this.#commit(request, head)
      if (result.type === 'accepted') return result
    }
    return { type: 'raced', revision: await this.readHead() }
  }

  async #commit (request: ChangeRequest, head: Head): Promise<ChangeResult> {
    const rows = await this.#platform.scan({ table: TABLE, prefix: ROW_PREFIX, limit: SCAN_LIMIT })
    const revision = head.revision + 1
    checkReferences(applyOps(rows.map(row => row.value as Resource), request.ops, revision))
    const transaction = buildTransaction(request, head, revision)
    try {
      const result = await this.#platform.transact(transaction)
      return { type: result.type === 'committed' ? 'accepted' : 'raced', revision }
    } catch (cause) {
      const known = await this.#readByChangeId(request.changeId)
      if (known !== null) return { type: 'accepted', revision: known }
      throw cause
    }
  }

  async #readHeadRow (): Promise<Head> {
    const row = await this.#platform.read(TABLE, HEAD_KEY)
    if (row === null) return { version: 0, revision: 0 }
    return { version: row.version, revision: (row.value as { revision: Revision }).revision }
  }

  async #readByChangeId (changeId: string): Promise<Revision | null> {
    const row: Row | null = await this.#platform.read(TABLE, CHANGE_ID_PREFIX + changeId)
    return row === null ? null : (row.value as { revision: Revision }).revision
  }
}

function nameChange (revision: Revision): string {
  return CHANGE_PREFIX + String(revision).padStart(REVISION_DIGITS, '0')
}

function buildTransaction (request: ChangeRequest, head: Head, revision: Revision): Transaction {
  const change: ResourceChange = { revision, changeId: request.changeId, ops: request.ops }
  const writes: Transaction['writes'] = [
    { type: 'put', table: TABLE, key: HEAD_KEY, value: { revision } },
    { type: 'put', table: TABLE, key: nameChange(revision), value: change },
    { type: 'put', table: TABLE, key: CHANGE_ID_PREFIX + request.changeId, value: { revision } }
  ]
  for (const op of request.ops) {
    if (op.type === 'put') writes.push({ type: 'put', table: TABLE, key: nameRow(op.resource.kind, op.resource.name), value: { ...op.resource, revision } })
    else writes.push({ type: 'delete', table: TABLE, key: nameRow(op.kind, op.name) })
  }
  return { checks: [{ table: TABLE, key: HEAD_KEY, version: head.version }], writes }
}

function nameRow (kind: string, name: string): string {
  return `${ROW_PREFIX}${kind}/${name}`
}
