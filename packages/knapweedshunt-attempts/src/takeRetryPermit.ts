/** Takes a permit for one more attempt from a retry budget; false when the budget is spent. */
export type TakeRetryPermit = () => boolean
