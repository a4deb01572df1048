/** What a served request shows. */
export interface ClearedParts {
  /** Parts that were suspect or quarantined until now. */
  parts: string[]
  /** Whether the other VMs must hear of it, soon: what this VM has published is no longer true, or the part is lost again and again. */
  isAnnounced: boolean
}
