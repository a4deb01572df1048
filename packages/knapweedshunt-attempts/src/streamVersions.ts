import type { WeightsVersion } from 'knapweedshunt-types'

/** Versions of the endpoint that began a stream; empty if not stated. */
export interface StreamVersions {
  softwareVersion: string
  weightsVersion: WeightsVersion
}
