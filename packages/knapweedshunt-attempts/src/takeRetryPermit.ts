/** Asks a budget for one more attempt; false when it is spent. */
export type RetryPermit = () => boolean
