/** One of the nested prefix levels of a prompt, for example general rules or a manual, then a section, then a case. */
export interface PrefixLevel {
  /** Chained salted hash, hex; equal only for equal salt and equal text up to the end of this level. */
  key: string
  /** Estimated tokens from the prompt's start to the end of this level. */
  tokens: number
}
