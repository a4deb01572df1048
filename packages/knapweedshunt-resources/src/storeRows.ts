import type { Transaction } from 'knapweedshunt-platform'
import type { ResourceChange, ResourceOp, Revision } from 'knapweedshunt-types'

/** Table of the declared resources. */
export const RESOURCE_TABLE = 'resources'

/** Row with the newest revision. */
export const HEAD_KEY = 'head'

/** Prefix of accepted changes. */
export const CHANGE_PREFIX = 'change/'

/** Prefix of change ids, by the revision that they became. */
export const CHANGE_ID_PREFIX = 'change-id/'

/** Prefix of the resources themselves. */
export const ROW_PREFIX = 'row/'

const REVISION_DIGITS = 12

/** The newest revision and the version of its row. */
export interface Head {
  version: number
  revision: Revision
}

/** Key of a change row; keys sort like revisions. */
export function nameChange (revision: Revision): string {
  return CHANGE_PREFIX + String(revision).padStart(REVISION_DIGITS, '0')
}

/** Builds the one transaction of a change. The head's version fences it against changes accepted meanwhile, the change id against its own repetition. */
export function buildTransaction (changeId: string, ops: ResourceOp[], head: Head): Transaction {
  const revision = head.revision + 1
  const change: ResourceChange = { revision, changeId, ops }
  const writes: Transaction['writes'] = [
    { type: 'put', table: RESOURCE_TABLE, key: HEAD_KEY, value: { revision } },
    { type: 'put', table: RESOURCE_TABLE, key: nameChange(revision), value: change },
    { type: 'put', table: RESOURCE_TABLE, key: CHANGE_ID_PREFIX + changeId, value: { revision } }
  ]
  for (const op of ops) writes.push(buildRowWrite(op, revision))
  const checks = [
    { table: RESOURCE_TABLE, key: HEAD_KEY, version: head.version },
    { table: RESOURCE_TABLE, key: CHANGE_ID_PREFIX + changeId, version: 0 }
  ]
  return { checks, writes }
}

function buildRowWrite (op: ResourceOp, revision: Revision): Transaction['writes'][number] {
  if (op.type === 'delete') return { type: 'delete', table: RESOURCE_TABLE, key: `${ROW_PREFIX}${op.kind}/${op.name}` }
  const { resource } = op
  return { type: 'put', table: RESOURCE_TABLE, key: `${ROW_PREFIX}${resource.kind}/${resource.name}`, value: { ...resource, revision } }
}
