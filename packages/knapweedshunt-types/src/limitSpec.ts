import type { OrganisationName } from './ids.ts'

/** Rate and concurrency limits of one organisation, summed over all VMs. */
export interface LimitSpec {
  organisation: OrganisationName
  requestsPerSecond: number
  /** Maximum number of requests in flight. */
  concurrent: number
}
