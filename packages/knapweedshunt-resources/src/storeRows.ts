import type { Transaction } from 'knapweedshunt-platform'
import type { ResourceChange, ResourceOperation, Revision } from 'knapweedshunt-types'

/** Platform table that holds the head row, the changes, the change ids and the resources. */
export const RESOURCE_TABLE = 'resources'

/** Key of the row with the newest accepted revision. */
export const HEAD_KEY = 'head'

/** Key prefix of the accepted changes, by revision. */
export const CHANGE_PREFIX = 'change/'

/** Key prefix of the change ids; each row holds the revision that the change got. */
export const CHANGE_ID_PREFIX = 'change-id/'

/** Key prefix of the resources, by kind and name. */
export const ROW_PREFIX = 'row/'

const REVISION_DIGITS = 12

/** Newest accepted revision and the version of its row; both 0 before the first change. */
export interface Head {
  version: number
  revision: Revision
}

/** Builds the key of a change row. The revision is zero-padded so that keys sort in revision order. */
export function buildChangeKey (revision: Revision): string {
  return CHANGE_PREFIX + String(revision).padStart(REVISION_DIGITS, '0')
}

/** Builds the single transaction of a change. The check on the version of the head row rejects it when another change was committed in the meantime; the check on the change id rejects a repetition of the same change. */
export function buildTransaction (changeId: string, ops: ResourceOperation[], head: Head): Transaction {
  const revision = head.revision + 1
  const change: ResourceChange = { revision, changeId, ops }
  const writes: Transaction['writes'] = [
    { type: 'put', table: RESOURCE_TABLE, key: HEAD_KEY, value: { revision } },
    { type: 'put', table: RESOURCE_TABLE, key: buildChangeKey(revision), value: change },
    { type: 'put', table: RESOURCE_TABLE, key: CHANGE_ID_PREFIX + changeId, value: { revision } }
  ]
  for (const op of ops) writes.push(buildRowWrite(op, revision))
  const checks = [
    { table: RESOURCE_TABLE, key: HEAD_KEY, version: head.version },
    { table: RESOURCE_TABLE, key: CHANGE_ID_PREFIX + changeId, version: 0 }
  ]
  return { checks, writes }
}

function buildRowWrite (op: ResourceOperation, revision: Revision): Transaction['writes'][number] {
  if (op.type === 'delete') return { type: 'delete', table: RESOURCE_TABLE, key: `${ROW_PREFIX}${op.kind}/${op.name}` }
  const { resource } = op
  return { type: 'put', table: RESOURCE_TABLE, key: `${ROW_PREFIX}${resource.kind}/${resource.name}`, value: { ...resource, revision } }
}
