import type { WeightsVersion } from 'knapweedshunt-types'

/** Weights an endpoint can have. */
export interface WeightsTarget {
  weightsVersion: WeightsVersion
  /** Empty without an adapter. */
  adapter: string
}

/** Whether two targets are the same weights and adapter. */
export function isSameTarget (a: WeightsTarget, b: WeightsTarget): boolean {
  return a.weightsVersion === b.weightsVersion && a.adapter === b.adapter
}
