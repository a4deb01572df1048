import type { OrganisationName } from './ids.ts'

/** Limits of one organisation over all VMs together. */
export interface LimitSpec {
  organisation: OrganisationName
  requestsPerSecond: number
  /** Requests in flight at the same time. */
  concurrent: number
}
