/** Spec of an organisation, whose work is isolated from that of all others. */
export interface OrganisationSpec {
  /** Weight in the fair queues relative to other organisations, > 0. */
  weight: number
}
