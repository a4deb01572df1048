import { createHash } from 'node:crypto'

/** Access key of the only organisation. */
export const ACCESS_KEY = 'front-desk-key'

/** Model of the default pool, `language`. */
export const MODEL = 'house-rules'

/** Long enough that prefix-cache hits decide the placement. */
export const PROMPT = 'The lift rules of the house. '.repeat(60)

/** Builds the organisation, access key and priority class of a hotel. */
export function buildHotelResources (): unknown[] {
  return [
    { kind: 'Organisation', name: 'harbour-hotel', spec: { weight: 1 } },
    { kind: 'AccessKey', name: 'front-desk', spec: { organisation: 'harbour-hotel', keyHash: createHash('sha256').update(ACCESS_KEY).digest('hex') } },
    { kind: 'PriorityClass', name: 'interactive', spec: { rank: 0, enginePriority: 0 } }
  ]
}

/** Builds a pool, its engines at the given URLs in one data centre (named `POOL-1`, `POOL-2`, …) and a route for its model. */
export function buildEnginePoolResources (urls: string[], { pool = 'language', model = MODEL, dataCentre = 'dc-1', route = {} }: { pool?: string, model?: string, dataCentre?: string, route?: object } = {}): unknown[] {
  return [
    { kind: 'EndpointPool', name: pool, spec: { type: 'model', model, weightsVersion: 'w1', objective: 'tail' } },
    ...urls.map((url, i) => buildEngineResource(pool, `${pool}-${i + 1}`, url, dataCentre)),
    { kind: 'Route', name: `${pool}-completions`, spec: { match: { type: 'model', model }, pool, repeatable: true, priorityClass: 'interactive', ...route } }
  ]
}

/** Builds one engine of a pool. */
export function buildEngineResource (pool: string, name: string, url: string, dataCentre: string): unknown {
  return { kind: 'Endpoint', name, spec: { pool, url, dataCentre, cacheBlocks: 4_000 } }
}

/** Builds a dispatch service whose calls must run at most once. */
export function buildDispatchResources (url: string): unknown[] {
  return [
    { kind: 'EndpointPool', name: 'dispatch', spec: { type: 'service' } },
    { kind: 'Endpoint', name: 'dispatch-1', spec: { pool: 'dispatch', url, dataCentre: 'dc-1' } },
    { kind: 'Route', name: 'dispatch', spec: { match: { type: 'path', prefix: '/dispatch' }, pool: 'dispatch', repeatable: false, priorityClass: 'interactive' } }
  ]
}
