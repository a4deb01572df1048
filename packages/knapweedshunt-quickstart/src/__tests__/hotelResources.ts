import { createHash } from 'node:crypto'

/** Access key of the one organisation. */
export const ACCESS_KEY = 'front-desk-key'

/** Model of the language pool. */
export const MODEL = 'house-rules'

/** Organisation, access key and priority class of a hotel. */
export function buildHotel (): unknown[] {
  return [
    { kind: 'Organisation', name: 'harbour-hotel', spec: { weight: 1 } },
    { kind: 'AccessKey', name: 'front-desk', spec: { organisation: 'harbour-hotel', keyHash: createHash('sha256').update(ACCESS_KEY).digest('hex') } },
    { kind: 'PriorityClass', name: 'interactive', spec: { rank: 0, enginePriority: 0 } }
  ]
}

/** A pool of engines at these addresses in one data centre, `POOL-1` and so on, with a route for its model. */
export function buildEngines (urls: string[], { pool = 'language', model = MODEL, dataCentre = 'dc-1', route = {} }: { pool?: string, model?: string, dataCentre?: string, route?: object } = {}): unknown[] {
  return [
    { kind: 'EndpointPool', name: pool, spec: { type: 'model', model, weightsVersion: 'w1', objective: 'tail' } },
    ...urls.map((url, i) => buildEngine(pool, `${pool}-${i + 1}`, url, dataCentre)),
    { kind: 'Route', name: `${pool}-completions`, spec: { match: { type: 'model', model }, pool, repeatable: true, priorityClass: 'interactive', ...route } }
  ]
}

/** One more engine of a pool. */
export function buildEngine (pool: string, name: string, url: string, dataCentre: string): unknown {
  return { kind: 'Endpoint', name, spec: { pool, url, dataCentre, cacheBlocks: 4_000 } }
}

/** A dispatch service whose calls may not be repeated. */
export function buildDispatch (url: string): unknown[] {
  return [
    { kind: 'EndpointPool', name: 'dispatch', spec: { type: 'service' } },
    { kind: 'Endpoint', name: 'dispatch-1', spec: { pool: 'dispatch', url, dataCentre: 'dc-1' } },
    { kind: 'Route', name: 'dispatch', spec: { match: { type: 'path', prefix: '/dispatch' }, pool: 'dispatch', repeatable: false, priorityClass: 'interactive' } }
  ]
}
