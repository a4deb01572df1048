import type { EndpointEntry } from '../ports/endpointEntry.ts'

/** Pool of the streams in the tests of their software versions. */
export const POOL = 'p'

/** Builds the entry of an endpoint of which only its software version matters. */
export function buildVersionEntry (endpoint: string, softwareVersion: string, incarnation = endpoint): EndpointEntry {
  return { endpoint, incarnation, pool: POOL, address: '127.0.0.1:1', dataCentre: 'z1', slots: 8, isDraining: false, softwareVersion, models: [] }
}
