const MIN_FINAL_STATUS = 200
const MAX_STATUS = 599

/** Whether a status is one of a final response. Those below 200 are informational, and HTTP knows none above 599 (RFC 9110, section 15); Node.js reports any three digits. */
export function isFinalStatus (status = 0): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS
}
