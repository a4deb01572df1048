/** Result of the parsing of a row, whose value another writer may have replaced. */
export type ParsedRow<T> =
  | { type: 'row', value: T }
  | { type: 'unreadable', reason: string }
