import { parseResource, ResourceInvalidError, ResourceUnsettledError } from 'knapweedshunt-resources'
import type { Resource, ResourceOp, Revision } from 'knapweedshunt-types'
import type { AdminContext } from './adminContext.ts'
import { createAdminError } from './adminError.ts'
import type { AdminErrorInstance } from './adminError.ts'
import { changeSchema } from './changeSchema.ts'
import type { OperatorRole } from './operatorKey.ts'

/** Accepts a change and returns its revision. Throws AdminError. */
export async function applyChange (context: AdminContext, role: OperatorRole, body: unknown): Promise<Revision> {
  const checked = changeSchema.safeParse(body)
  if (!checked.success) throw createAdminError(400, 'change_invalid', `${checked.error.issues[0].path.join('.')}: ${checked.error.issues[0].message}.`)
  try {
    const ops: ResourceOp[] = checked.data.ops.map(op => op.type === 'put' ? { type: 'put', resource: parseResource(op.resource) } : op)
    checkAllowed(role, ops)
    const { changeId, expectedRevision } = checked.data
    const check = (present: Resource[]) => checkOwned(role, ops, present)
    const result = await context.store.change({ changeId, expectedRevision, ops, check })
    if (result.type === 'accepted') return result.revision
    throw createAdminError(409, 'revision_raced', `Another change came first: the newest revision is ${result.revision}. Look at it, then ask again.`, { revision: result.revision })
  } catch (error) {
    throw convertError(error)
  }
}

function checkAllowed (role: OperatorRole, ops: ResourceOp[]): void {
  switch (role.type) {
    case 'editor':
      return
    case 'viewer':
      throw createAdminError(403, 'role_forbids', 'A viewer may change nothing: use an editor\'s key.')
    case 'organisation':
      if (!ops.every(op => isOwnKey(role.organisation, op))) throw refuseForeign(role.organisation)
  }
}

/** A key bound to one organisation may neither overwrite nor delete what is another's under the same name. */
function checkOwned (role: OperatorRole, ops: ResourceOp[], present: Resource[]): void {
  if (role.type !== 'organisation') return
  const names = new Set(ops.map(op => op.type === 'put' ? op.resource.name : op.name))
  const foreign = present.some(resource => resource.kind === 'AccessKey' && names.has(resource.name) && resource.spec.organisation !== role.organisation)
  if (foreign) throw refuseForeign(role.organisation)
}

function isOwnKey (organisation: string, op: ResourceOp): boolean {
  if (op.type === 'delete') return op.kind === 'AccessKey'
  return op.resource.kind === 'AccessKey' && op.resource.spec.organisation === organisation
}

function refuseForeign (organisation: string): AdminErrorInstance {
  return createAdminError(403, 'role_forbids', `This key may change only access keys of ${organisation}.`)
}

function convertError (error: unknown): unknown {
  if (error instanceof ResourceInvalidError) return createAdminError(422, 'resource_invalid', error.message)
  if (error instanceof ResourceUnsettledError) return createAdminError(503, 'change_unsettled', error.message)
  return error
}
