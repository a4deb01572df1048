/** Status line and headers of a response to a caller. */
export interface ResponseStart {
  status: number
  /** Reason phrase; empty for that of the status. */
  message: string
  /** Flat list of names and values. */
  headers: string[]
  /** Whether the connection is closed after the response. */
  closesConnection: boolean
}

/** A response whose body is known. */
export interface WholeResponse {
  start: ResponseStart
  body: Buffer
}
