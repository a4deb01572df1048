/** Intervals and limits of a {@link ControlNode}. */
export interface NodeOptions {
  /** Interval between ticks. */
  tickMs: number
  /** Number of VMs per data centre that poll the platform. */
  platformPollerCount: number
  /** Interval between polls of the platform's head revision. */
  platformPollMs: number
  /** Interval between reads of the platform's VM list. */
  vmListPollMs: number
  /** Intended interval between polls on a VM that the platform did not answer. */
  platformRetryMs: number
  /** Number of VMs per data centre that exchange with other data centres. */
  gatewayCount: number
  /** Ticks between a gateway's exchanges with other data centres. */
  remoteExchangeTicks: number
  /** Ticks between local exchanges that include the data centre summaries. */
  summaryExchangeTicks: number
  /** Ticks between updates of the own data centre's summary. */
  summaryWriteTicks: number
  /** Ticks between load polls of one endpoint. */
  loadPollTicks: number
  /** Number of VMs to which each VM pushes a new revision. */
  pushFanOut: number
  /** Ticks between periodic pushes to the router; urgent changes are pushed at once. */
  routerPushTicks: number
  /** Time that a starting VM waits for gossip when some peer did not answer its announcement. */
  joinGossipWaitMs: number
}

/** Defaults, sized for 27 VMs per data centre. */
export const DEFAULT_NODE_OPTIONS: NodeOptions = {
  tickMs: 500,
  platformPollerCount: 3,
  platformPollMs: 1_000,
  vmListPollMs: 10_000,
  platformRetryMs: 5_000,
  gatewayCount: 2,
  remoteExchangeTicks: 2,
  summaryExchangeTicks: 2,
  summaryWriteTicks: 4,
  loadPollTicks: 2,
  pushFanOut: 3,
  routerPushTicks: 2,
  joinGossipWaitMs: 2_000
}
