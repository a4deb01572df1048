import { spreadBurst } from 'knapweedshunt-admission'
import type { GatewayOrganisation } from '../ports/gatewayConfig.ts'

/** Converts the limits of organisations, which hold for a window of this length, in milliseconds, to rates and bursts; null for no window. */
export function spreadBursts (organisations: GatewayOrganisation[], windowMs: number | null): GatewayOrganisation[] {
  return organisations.map(one => one.usageLimit === null ? one : { ...one, usageLimit: spreadBurst(one.usageLimit, windowMs) })
}
