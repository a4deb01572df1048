import { parseResource, ResourceInvalidError, ResourceUnsettledError } from 'knapweedshunt-resources'
import type { Resource, ResourceOperation, Revision } from 'knapweedshunt-types'
import { describeFirstIssue } from 'knapweedshunt-utils'
import type { AdminContext } from './adminContext.ts'
import { createAdminError } from './adminError.ts'
import type { AdminErrorInstance } from './adminError.ts'
import { changeSchema } from './changeSchema.ts'
import type { OperatorRole } from './operatorKey.ts'

/** Validates, authorises and commits a change; returns its revision. Throws AdminError. */
export async function applyChange (context: AdminContext, role: OperatorRole, body: unknown): Promise<Revision> {
  const parsed = changeSchema.safeParse(body)
  if (!parsed.success) throw createAdminError(400, 'change_invalid', `${describeFirstIssue(parsed.error)}.`)
  try {
    const ops: ResourceOperation[] = parsed.data.ops.map(op => op.type === 'put' ? { type: 'put', resource: parseResource(op.resource) } : op)
    checkRole(role, ops)
    const { changeId, expectedRevision } = parsed.data
    const checkAccess = (existing: Resource[]) => checkAccessKeyOwner(role, ops, existing)
    const result = await context.store.change({ changeId, expectedRevision, ops, checkAccess })
    if (result.type === 'accepted') return result.revision
    throw createAdminError(409, 'revision_raced', `Another change was committed first: the newest revision is ${result.revision}. Review it, then retry.`, { revision: result.revision })
  } catch (error) {
    throw convertError(error)
  }
}

function checkRole (role: OperatorRole, ops: ResourceOperation[]): void {
  switch (role.type) {
    case 'editor':
      return
    case 'viewer':
      throw createAdminError(403, 'role_forbids', 'A viewer key cannot change resources: use an editor key.')
    case 'organisation':
      if (!ops.every(op => isOwnAccessKey(role.organisation, op))) throw createForeignKeyError(role.organisation)
  }
}

/** A key of one organisation may neither overwrite nor delete an access key of the same name that belongs to another organisation. */
function checkAccessKeyOwner (role: OperatorRole, ops: ResourceOperation[], existing: Resource[]): void {
  if (role.type !== 'organisation') return
  const names = new Set(ops.map(op => op.type === 'put' ? op.resource.name : op.name))
  const hasForeignKey = existing.some(resource => resource.kind === 'AccessKey' && names.has(resource.name) && resource.spec.organisation !== role.organisation)
  if (hasForeignKey) throw createForeignKeyError(role.organisation)
}

function isOwnAccessKey (organisation: string, op: ResourceOperation): boolean {
  if (op.type === 'delete') return op.kind === 'AccessKey'
  return op.resource.kind === 'AccessKey' && op.resource.spec.organisation === organisation
}

function createForeignKeyError (organisation: string): AdminErrorInstance {
  return createAdminError(403, 'role_forbids', `This operator key may change only access keys of ${organisation}.`)
}

function convertError (error: unknown): unknown {
  if (error instanceof ResourceInvalidError) return createAdminError(422, 'resource_invalid', error.message)
  if (error instanceof ResourceUnsettledError) return createAdminError(503, 'change_unsettled', error.message)
  return error
}
