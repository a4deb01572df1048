/** Interval of collections, by the number of VMs that are asked; and between the first one and the one to which VMs lend their shares. In milliseconds. */
const COLLECT_INTERVAL = { minMs: 1_000, perVmMs: 15, maxMs: 3_000, firstMs: 100, firstPerVmMs: 3 }

/** Time for which a loan outlasts the interval of collections, in milliseconds. */
const LOAN_MARGIN_MS = 500

/** Computes the time between two collections of shares, in milliseconds. */
export function computeCollectIntervalMs (vmCount: number): number {
  return Math.min(COLLECT_INTERVAL.maxMs, Math.max(COLLECT_INTERVAL.minMs, COLLECT_INTERVAL.perVmMs * vmCount))
}

/** Computes the time between the first collection and the one to which VMs lend their shares, in milliseconds. */
export function computeFirstIntervalMs (vmCount: number): number {
  return Math.max(COLLECT_INTERVAL.firstMs, COLLECT_INTERVAL.firstPerVmMs * vmCount)
}

/** Computes for how long VMs lend their shares to an accountant, in milliseconds: until its next collection. */
export function computeLoanMs (vmCount: number): number {
  return computeCollectIntervalMs(vmCount) + LOAN_MARGIN_MS
}
