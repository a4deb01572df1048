/** A customer whose work is kept apart from all others. */
export interface OrganisationSpec {
  /** Share of a contended queue relative to other organisations, > 0. */
  weight: number
}
