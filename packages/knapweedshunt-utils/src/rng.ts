import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Seeded pseudo-random number generator. */
export interface Rng {
  /** Returns a uniform float in [0, 1). */
  drawFloat (): number
  /** Returns a uniform integer in [0, below). */
  drawInt (below: number): number
}

const FLOAT_STEP_COUNT = 2 ** 31

/** Creates a generator; equal seeds give equal sequences. The seed is truncated to 32 bits. */
export function createRng (seed: number): Rng {
  const generator = xoroshiro128plus(seed | 0)
  return {
    drawFloat: () => uniformInt(generator, 0, FLOAT_STEP_COUNT - 1) / FLOAT_STEP_COUNT,
    drawInt: below => uniformInt(generator, 0, below - 1)
  }
}
