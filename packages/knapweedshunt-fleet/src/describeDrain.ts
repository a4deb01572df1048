import type { EndpointSpec, EndpointView, StatusCondition } from 'knapweedshunt-types'

/** Describes an operator's drain of one endpoint: `true` once its load report shows nothing in flight or it is dead; null when it is not being drained. */
export function describeDrain (spec: EndpointSpec, view: EndpointView | null): StatusCondition | null {
  if (!spec.draining) return null
  if (view === null || view.load === null || view.state === 'suspect') return { type: 'Progress', status: 'unknown', reason: 'NotHeard', message: 'The endpoint does not report.' }
  if (view.state === 'dead') return { type: 'Progress', status: 'true', reason: 'Drained', message: 'The endpoint is dead.' }
  const inFlight = view.load.running + view.load.queued
  if (inFlight > 0) return { type: 'Progress', status: 'false', reason: 'Draining', message: `${inFlight} requests are in flight.` }
  return { type: 'Progress', status: 'true', reason: 'Drained', message: 'Nothing is in flight.' }
}
