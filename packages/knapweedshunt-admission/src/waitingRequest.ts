import type { AdmissionRequest } from './admissionTypes.ts'

/** A queued request with the weight of its organisation. */
export interface WaitingRequest {
  request: AdmissionRequest
  weight: number
  /** Monotonic clock, in milliseconds. */
  offeredAtMs: number
}
