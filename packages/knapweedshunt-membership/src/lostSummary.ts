/** What a VM knows of the endpoints of a pool that another VM has lost and asks about. */
export interface LostSummary {
  /** Endpoints that have answered it since the other VM lost them: the loss is that VM's own. */
  answered: number
  /** Endpoints that it takes for reached but has not heard from since. */
  unheard: number
}
