/** Whether a call failed because nothing listened at the address. */
export function hasRefusedConnection (error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) if ((cause as NodeJS.ErrnoException).code === 'ECONNREFUSED') return true
  return false
}
