import type { ExplainRequest, Explanation } from 'knapweedshunt-types'
import { describeFirstIssue } from 'knapweedshunt-utils'
import { z } from 'zod'
import type { AdminContext } from './adminContext.ts'
import { createAdminError } from './adminError.ts'
import type { OperatorRole } from './operatorKey.ts'

const explainSchema = z.strictObject({
  organisation: z.string().min(1),
  model: z.string().min(1),
  prompt: z.string().min(1),
  marks: z.array(z.number().int().positive()).default([])
})

/** Asks the local router which endpoint it would choose for a request. Throws AdminError. */
export async function explain (context: AdminContext, role: OperatorRole, body: unknown): Promise<Explanation> {
  const parsed = explainSchema.safeParse(body)
  if (!parsed.success) throw createAdminError(400, 'explain_invalid', `${describeFirstIssue(parsed.error)}.`)
  const request: ExplainRequest = parsed.data
  if (role.type === 'organisation' && role.organisation !== request.organisation) throw createAdminError(403, 'role_forbids', `This operator key may explain requests of ${role.organisation} only.`)
  const { resources } = await context.store.readSnapshot()
  const isKnown = resources.some(resource => resource.kind === 'Organisation' && resource.name === request.organisation)
  if (!isKnown) throw createAdminError(404, 'organisation_unknown', `Organisation ${request.organisation} does not exist: check the name.`)
  const hasRoute = resources.some(resource => resource.kind === 'Route' && resource.spec.match.type === 'model' && resource.spec.match.model === request.model)
  if (!hasRoute) throw createAdminError(404, 'route_unknown', `No Route matches the model ${request.model}: check the name.`)
  return await context.router.call('router.explain', request) as Explanation
}
