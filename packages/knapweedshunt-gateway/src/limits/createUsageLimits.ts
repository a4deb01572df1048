import type { VmRoster } from '../directory/vmRoster.ts'
import type { PeerServices } from '../peers/peerServices.ts'
import type { VmSettings } from '../ports/vmSettings.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { GatewayMetrics } from '../records/gatewayMetrics.ts'
import { UsageLimits } from './usageLimits.ts'

/** Dependencies of {@link createUsageLimits}. */
export interface UsageLimitsParts {
  settings: VmSettings
  incarnation: string
  roster: VmRoster
  peerServices: PeerServices
  decisionLog: DecisionLog
  metrics: GatewayMetrics
  randomizeDelayMs (meanMs: number): number
}

/** Creates the limits of organisations of a VM that calls the other VMs of its roster. */
export function createUsageLimits ({ settings, incarnation, roster, peerServices, decisionLog, metrics, randomizeDelayMs }: UsageLimitsParts): UsageLimits {
  const { vm, dataCentre } = settings
  return new UsageLimits({
    vm,
    dataCentre,
    incarnation,
    listVms: () => roster.listVms(),
    listAccountants: () => {
      const peers = roster.listPeers()
      return settings.peers === null && peers.length > 0 ? peers : [{ vm, dataCentre }, ...peers]
    },
    call: async (peer, method, params) => {
      const kind = method === 'usage.exchange' ? 'exchange' : 'collect'
      try {
        const view = roster.listPeers().find(one => one.vm === peer)
        if (view === undefined) throw new Error(`VM ${peer} serves no calls.`)
        const result = await peerServices.call(view, method, params)
        metrics.recordUsageCall(kind, 'answered')
        return result
      } catch (error) {
        metrics.recordUsageCall(kind, 'failed')
        throw error
      }
    },
    randomizeDelayMs,
    onFailed: (accountant, reason) => decisionLog.record({ type: 'accountantFailed', vm: accountant, reason })
  })
}
