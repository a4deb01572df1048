import type { ListenOptions } from 'knapweedshunt-utils'

/** Options of a fake engine. */
export interface EngineOptions extends ListenOptions {
  endpoint: string
  weightsVersion: string
  /** Capacity of the prefix cache, in blocks. */
  cacheBlocks: number
  /** Time to compute one uncached prompt token, in milliseconds. */
  prefillMsPerToken: number
  /** Time between generated tokens, in milliseconds. */
  tokenMs: number
  /** Time to load new weights, in milliseconds. */
  loadWeightsMs: number
  /** Restart without weights after a crash instead of with `weightsVersion`. */
  restartsWithoutWeights: boolean
  /** Reject management commands with an old fencing token or for another incarnation. */
  checksFencing: boolean
}

/** Defaults for tests: a fast engine on the loopback address and a free port. */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  host: '127.0.0.1',
  port: 0,
  endpoint: 'engine',
  weightsVersion: 'w1',
  cacheBlocks: 4_000,
  prefillMsPerToken: 0.01,
  tokenMs: 1,
  loadWeightsMs: 500,
  restartsWithoutWeights: false,
  checksFencing: true
}
