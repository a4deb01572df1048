import type { WeightsVersion } from 'knapweedshunt-types'

/** Model weights and adapter that an endpoint can load. */
export interface WeightsTarget {
  weightsVersion: WeightsVersion
  /** Empty string when there is no adapter. */
  adapter: string
}

/** Whether two targets have the same weights version and adapter. */
export function isSameTarget (a: WeightsTarget, b: WeightsTarget): boolean {
  return a.weightsVersion === b.weightsVersion && a.adapter === b.adapter
}
