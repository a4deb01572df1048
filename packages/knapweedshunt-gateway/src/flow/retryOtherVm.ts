/** Retry-after time if another VM can serve the request at once, in milliseconds. */
export const RETRY_OTHER_VM_MS = 150
