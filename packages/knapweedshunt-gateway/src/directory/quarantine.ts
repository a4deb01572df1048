/** Why a request must not be sent. */
export interface Quarantine {
  detail: string
  /** Time until the quarantine ends, in milliseconds. */
  retryAfterMs: number
}
