import { createPlatformClient, DEFAULT_GUARDED_PLATFORM_OPTIONS, DEFAULT_PLATFORM_TIMEOUT_MS, GuardedPlatform } from 'knapweedshunt-platform'
import type { RouterOptions } from '../routerOptions.ts'

/** Creates the router's platform client, rate limited to the `tableReadsPerS` and `tableWritesPerS` of this router. */
export function createGuardedPlatform ({ platformUrl, tableReadsPerS, tableWritesPerS }: RouterOptions): GuardedPlatform {
  const client = createPlatformClient({ url: platformUrl, timeoutMs: DEFAULT_PLATFORM_TIMEOUT_MS })
  const { reads, writes } = DEFAULT_GUARDED_PLATFORM_OPTIONS
  return new GuardedPlatform(client, { ...DEFAULT_GUARDED_PLATFORM_OPTIONS, reads: { ...reads, ratePerS: tableReadsPerS }, writes: { ...writes, ratePerS: tableWritesPerS } })
}
