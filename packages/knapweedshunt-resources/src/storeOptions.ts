/** Retention and compaction of the change history. */
export interface StoreOptions {
  /** Newest changes that are retained for replicas and watches. */
  retainedChanges: number
  /** Newest changes whose ids are retained, so that a repeated request is recognised. At least `retainedChanges`. */
  retainedChangeIds: number
  /** Changes between two compactions. */
  changesPerCompaction: number
}

/** At 6,600 changes a day, this retains the changes of more than an hour and the change ids of three days. */
export const DEFAULT_STORE_OPTIONS: StoreOptions = { retainedChanges: 500, retainedChangeIds: 20_000, changesPerCompaction: 100 }
