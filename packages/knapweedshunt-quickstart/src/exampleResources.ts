import { createHash } from 'node:crypto'
import type { FakeEngine, FakeService } from 'knapweedshunt-fakes'

/** Access key of the example organisation. */
export const EXAMPLE_ACCESS_KEY = 'example-access-key'

/** Model of the example route. */
export const EXAMPLE_MODEL = 'house-rules'

/** Stand-ins that the example resources name. */
export interface ExampleEndpoints {
  engines: FakeEngine[]
  services: FakeService[]
}

/** Builds the example resources, as an operator would declare them. */
export function buildExampleResources (endpoints: ExampleEndpoints, dataCentre: string): unknown[] {
  const keyHash = createHash('sha256').update(EXAMPLE_ACCESS_KEY).digest('hex')
  return [
    { kind: 'Organisation', name: 'harbour-hotel', spec: { weight: 1 } },
    { kind: 'AccessKey', name: 'front-desk', spec: { organisation: 'harbour-hotel', keyHash } },
    { kind: 'PriorityClass', name: 'interactive', spec: { rank: 0, enginePriority: 0 } },
    { kind: 'EndpointPool', name: 'language', spec: { type: 'model', model: EXAMPLE_MODEL, weightsVersion: 'w1', objective: 'tail' } },
    { kind: 'EndpointPool', name: 'dispatch', spec: { type: 'service' } },
    ...endpoints.engines.map((engine, i) => ({ kind: 'Endpoint', name: `language-${i + 1}`, spec: { pool: 'language', url: engine.url, dataCentre, cacheBlocks: 4_000 } })),
    ...endpoints.services.map((service, i) => ({ kind: 'Endpoint', name: `dispatch-${i + 1}`, spec: { pool: 'dispatch', url: service.url, dataCentre } })),
    { kind: 'Route', name: 'completions', spec: { match: { type: 'model', model: EXAMPLE_MODEL }, pool: 'language', repeatable: true, priorityClass: 'interactive' } },
    { kind: 'Route', name: 'dispatch', spec: { match: { type: 'path', prefix: '/dispatch' }, pool: 'dispatch', repeatable: false, priorityClass: 'interactive' } }
  ]
}
