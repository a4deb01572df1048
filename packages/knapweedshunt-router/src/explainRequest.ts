import { buildPrefixLevels } from 'knapweedshunt-placement'
import type { EndpointView, ExplainedEndpoint, Explanation, ResourceOf, RouterSnapshot } from 'knapweedshunt-types'
import { z } from 'zod'
import { createCallerError } from './callerError.ts'
import { splitAtOffsets } from './splitAtOffsets.ts'
import type { DataPath } from './dataPath.ts'

const SHOWN_KEY_CHARS = 12
const explainSchema = z.object({ organisation: z.string(), model: z.string(), prompt: z.string().min(1), marks: z.array(z.number().int().positive()) })

/** Explains how a completion would be routed and placed now, without sending it. Throws CallerError when the router has no resources or no route for the model, ZodError on invalid params. */
export function explainRequest (dataPath: DataPath, params: unknown): Explanation {
  const { organisation, model, prompt, marks } = explainSchema.parse(params)
  const { resourceIndex, snapshot } = dataPath
  if (resourceIndex === null || snapshot === null) throw createCallerError('not_ready', 'The router has no resources yet: try again later.')
  const route = resourceIndex.findModelRoute(model)
  const pool = route && resourceIndex.findPool(route.spec.pool)
  if (route === undefined || pool?.type !== 'model') throw createCallerError('route_unknown', `There is no route for the model "${model}": check the name.`)
  const salt = { organisation, model: pool.model, adapter: pool.adapter ?? '', weightsVersion: pool.weightsVersion }
  const levels = buildPrefixLevels(salt, splitAtOffsets(prompt, marks))
  return {
    route: route.name,
    pool: route.spec.pool,
    objective: pool.objective,
    repeatable: route.spec.repeatable,
    priorityClass: route.spec.priorityClass,
    levels: levels.map(({ key, tokens }) => ({ key: key.slice(0, SHOWN_KEY_CHARS), tokens })),
    endpoints: listEndpoints(snapshot, route.spec.pool, dataPath.placement.rank({ pool: route.spec.pool, levels }))
  }
}

function listEndpoints (snapshot: RouterSnapshot, pool: string, rankedEndpoints: string[]): ExplainedEndpoint[] {
  const views = new Map(snapshot.endpoints.map(view => [view.endpoint, view]))
  const ranks = new Map(rankedEndpoints.map((endpoint, i) => [endpoint, i + 1]))
  return snapshot.resources.resources
    .filter(resource => resource.kind === 'Endpoint')
    .filter(endpoint => endpoint.spec.pool === pool)
    .map(endpoint => describeEndpoint(endpoint, views.get(endpoint.name), ranks.get(endpoint.name) ?? null))
    .sort((a, b) => (a.rank ?? Infinity) - (b.rank ?? Infinity) || (a.endpoint < b.endpoint ? -1 : 1))
}

function describeEndpoint (endpoint: ResourceOf<'Endpoint'>, view: EndpointView | undefined, rank: number | null): ExplainedEndpoint {
  return {
    rank,
    endpoint: endpoint.name,
    dataCentre: endpoint.spec.dataCentre,
    state: view?.state ?? 'live',
    draining: endpoint.spec.draining || view?.load?.role === 'drain',
    weightsVersion: view?.weightsVersion ?? null,
    running: view?.load?.running ?? 0,
    queuedTokens: view?.load?.queuedTokens ?? 0
  }
}
