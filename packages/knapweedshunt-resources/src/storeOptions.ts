/** How much of its history the store keeps. */
export interface StoreOptions {
  /** Changes kept, newest first, for VMs that follow and for watches. */
  keptChanges: number
  /** Changes whose ids are kept, so that a repeated request is known. At least `keptChanges`. */
  keptChangeIds: number
  /** Changes between two compactions. */
  compactEvery: number
}

/** At 6,600 changes a day: changes of more than an hour, ids of three days. */
export const DEFAULT_STORE_OPTIONS: StoreOptions = { keptChanges: 500, keptChangeIds: 20_000, compactEvery: 100 }
