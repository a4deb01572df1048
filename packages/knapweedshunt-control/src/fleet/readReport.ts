import http from 'node:http'
import type { EndpointName, EndpointSpec, LoadReport } from 'knapweedshunt-types'
import { readLoad } from '../readLoad.ts'

const agent = new http.Agent()

/** Asks an endpoint for its load report; null when none came. Never throws. */
export async function readReport (endpoint: EndpointName, spec: EndpointSpec): Promise<LoadReport | null> {
  const event = await readLoad(endpoint, spec.url, agent)
  return event.type === 'loadRead' ? event.load : null
}
