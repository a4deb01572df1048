import type { EndpointName, EndpointSpec, LoadReport } from 'knapweedshunt-types'
import { ResponseAgent } from 'knapweedshunt-utils'
import { readLoad } from '../readLoad.ts'

const agent = new ResponseAgent()

/** Polls an endpoint's load report; null when it does not answer or the report is invalid. Never throws. */
export async function readReport (endpoint: EndpointName, spec: EndpointSpec): Promise<LoadReport | null> {
  const event = await readLoad(endpoint, spec.url, agent)
  return event.type === 'loadRead' ? event.load : null
}
