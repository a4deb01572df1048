/** Timing and sizes of a node's decisions. */
export interface NodeOptions {
  /** Time between two ticks, in milliseconds. */
  tickMs: number
  /** VMs of a data centre that follow the platform's head. */
  pollers: number
  /** Time between two looks at the head, in milliseconds. */
  platformMs: number
  /** Time between two looks at the platform's VM list, in milliseconds. */
  listMs: number
  /** Time between two tries of a VM that the platform did not answer, in milliseconds. */
  platformRetryMs: number
  /** VMs of a data centre that exchange with other data centres. */
  gateways: number
  /** Ticks between two exchanges with another data centre. */
  gatewayTicks: number
  /** Ticks between two exchanges that carry the data centres' summaries. */
  centreTicks: number
  /** Ticks between two summaries of the own data centre. */
  summaryTicks: number
  /** Ticks between two load reports of one endpoint. */
  loadTicks: number
  /** VMs that one VM pushes a new revision to. */
  fanOut: number
  /** Ticks between two views handed to the router when nothing urgent happened. */
  routerTicks: number
  /** Wait for gossip when some peer did not answer a starting VM, in milliseconds. */
  joinWaitMs: number
}

/** Bounds for 27 VMs a data centre. */
export const DEFAULT_NODE_OPTIONS: NodeOptions = {
  tickMs: 500,
  pollers: 3,
  platformMs: 1_000,
  listMs: 10_000,
  platformRetryMs: 5_000,
  gateways: 2,
  gatewayTicks: 2,
  centreTicks: 2,
  summaryTicks: 4,
  loadTicks: 2,
  fanOut: 3,
  routerTicks: 2,
  joinWaitMs: 2_000
}
