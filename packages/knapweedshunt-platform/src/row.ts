/** Row of a table as the platform returns it. */
export interface Row {
  key: string
  /** Incremented by one at each write of the row; 0 means that the row is absent. */
  version: number
  value: unknown
}
