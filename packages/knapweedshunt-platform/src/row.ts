/** One row of a table. */
export interface Row {
  key: string
  /** Grows by one per write of the row; 0 stands for an absent row. */
  version: number
  value: unknown
}
