import type { EndpointName } from 'knapweedshunt-types'
import type { EndPeriod } from './endPeriod.ts'

/** A crash that is held against a request or a prompt part. */
export interface HeldCrash {
  /** Incarnation of the endpoint. */
  endpoint: EndpointName
  /** Period in which the endpoint's process ended if it did. */
  endPeriod: EndPeriod
}

/** A crash that counts as long as its endpoint is not known to have lived on. */
export interface OpenCrash {
  /** The same object as long as the crash is held. */
  crash: HeldCrash
  /** Returns whether requests are refused for it. */
  isRefused (): boolean
}
