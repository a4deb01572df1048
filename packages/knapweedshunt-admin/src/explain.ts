import type { ExplainRequest, Explanation } from 'knapweedshunt-types'
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

/** Asks the local router where a request would go. Throws AdminError. */
export async function explain (context: AdminContext, role: OperatorRole, body: unknown): Promise<Explanation> {
  const checked = explainSchema.safeParse(body)
  if (!checked.success) throw createAdminError(400, 'explain_invalid', `${checked.error.issues[0].path.join('.')}: ${checked.error.issues[0].message}.`)
  const request: ExplainRequest = checked.data
  if (role.type === 'organisation' && role.organisation !== request.organisation) throw createAdminError(403, 'role_forbids', `This key may ask for ${role.organisation} only.`)
  const { resources } = await context.store.readSnapshot()
  const isKnown = resources.some(one => one.kind === 'Organisation' && one.name === request.organisation)
  if (!isKnown) throw createAdminError(404, 'organisation_unknown', `There is no Organisation ${request.organisation}: check the name.`)
  const hasRoute = resources.some(one => one.kind === 'Route' && one.spec.match.type === 'model' && one.spec.match.model === request.model)
  if (!hasRoute) throw createAdminError(404, 'route_unknown', `There is no Route for the model ${request.model}: check the name.`)
  return await context.router.call('router.explain', request) as Explanation
}
