import type { LoadReport } from 'knapweedshunt-types'
import { callJson } from 'knapweedshunt-utils'
import type { ControlState } from './controlState.ts'

const TIMEOUT_MS = 1_000

/** Asks every endpoint of the data centre for its load; silence is left to the failure detection. */
export async function pollLoads (state: ControlState, dataCentre: string): Promise<void> {
  const endpoints = state.replica.snapshot.resources
    .filter(resource => resource.kind === 'Endpoint')
    .filter(resource => resource.spec.dataCentre === dataCentre)
  await Promise.all(endpoints.map(endpoint => pollOne(state, endpoint.name, endpoint.spec.url)))
}

async function pollOne (state: ControlState, name: string, url: string): Promise<void> {
  try {
    const answer = await callJson({ method: 'GET', url: `${url}/manage/load`, timeoutMs: TIMEOUT_MS })
    if (answer.status === 200) state.endpoints.takeLoad({ ...answer.body as LoadReport, endpoint: name })
  } catch {
    // Silence is evidence enough: the membership judges by report age.
  }
}
