import type { ListenOptions } from 'knapweedshunt-utils'

/** Options of an engine stand-in. */
export interface EngineOptions extends ListenOptions {
  endpoint: string
  weightsVersion: string
  cacheBlocks: number
  /** Time to compute one uncached prompt token, in milliseconds. */
  prefillMsPerToken: number
  /** Time between generated tokens, in milliseconds. */
  tokenMs: number
  /** Time to load new weights, in milliseconds. */
  loadWeightsMs: number
  /** Come back without weights after a crash, and not with the first ones. */
  restartsEmpty: boolean
  /** Refuse management orders with an old fencing number. */
  checksFencing: boolean
}

/** A fast engine on loopback. */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  host: '127.0.0.1',
  port: 0,
  endpoint: 'engine',
  weightsVersion: 'w1',
  cacheBlocks: 4_000,
  prefillMsPerToken: 0.01,
  tokenMs: 1,
  loadWeightsMs: 500,
  restartsEmpty: false,
  checksFencing: true
}
