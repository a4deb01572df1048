import type { AdmissionRequest } from './admissionTypes.ts'

/** A request in a queue. */
export interface WaitingRequest {
  request: AdmissionRequest
  weight: number
  /** By the monotonic clock, milliseconds. */
  offeredAtMs: number
}
