import type { OrganisationName } from 'knapweedshunt-types'
import type { CallerCall, CallerIdentity } from '../ports/callerCall.ts'
import { USAGE_UNIT } from '../ports/gatewayConfig.ts'
import type { UsageLimit } from '../ports/gatewayConfig.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { GatewayMetrics } from '../records/gatewayMetrics.ts'
import { createCallerError } from '../shared/callerError.ts'
import type { UsageLimits } from './usageLimits.ts'

/** Dependencies of {@link UsageGate}. */
export interface UsageGateDependencies {
  usageLimits: UsageLimits
  decisionLog: DecisionLog
  metrics: GatewayMetrics
}

/** Checks requests of callers against the limits of their organisations. */
export class UsageGate {
  readonly #dependencies: UsageGateDependencies

  constructor (dependencies: UsageGateDependencies) {
    this.#dependencies = dependencies
  }

  /** Admits a request and returns the units taken for it, null without a limit. Throws CallerError if the request is beyond the limit. */
  async admit (call: CallerCall, { organisation }: CallerIdentity): Promise<number | null> {
    const { usageLimits, metrics } = this.#dependencies
    const limit = usageLimits.findLimit(organisation)
    if (limit === null) return null
    const amount = countUnits(limit, call)
    const admission = await usageLimits.admit(organisation, amount)
    metrics.recordUsage(organisation, admission.type, amount)
    if (admission.type === 'admitted') return admission.taken
    this.#dependencies.decisionLog.record({
      type: 'usageRefused',
      requestId: call.requestId,
      organisation,
      unit: limit.unit,
      amount,
      limitPerS: limit.ratePerS,
      burst: limit.burst,
      refusal: admission.refusal,
      accountant: admission.accountant,
      share: Math.round(usageLimits.findShareLevel(organisation) ?? 0),
      vms: usageLimits.countVms(),
      retryAfterMs: admission.waitMs
    })
    throw createCallerError(429, 'usage_limited', `${organisation} is beyond ${limit.ratePerS} ${limit.unit} a second and a burst of ${limit.burst}: ${admission.refusal}`, { retryAfterMs: admission.waitMs })
  }

  /** Puts back the units of a request that no endpoint ran. */
  putBack (organisation: OrganisationName, amount: number): void {
    this.#dependencies.usageLimits.putBack(organisation, amount)
    this.#dependencies.metrics.recordUsage(organisation, 'returned', amount)
  }
}

function countUnits ({ unit, plainTokens }: UsageLimit, { tokenUsage }: CallerCall): number {
  if (unit === USAGE_UNIT.requests) return 1
  return tokenUsage === null ? plainTokens : tokenUsage.promptTokens + tokenUsage.maxOutputTokens
}
