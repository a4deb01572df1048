import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Seeded random numbers. */
export interface Rng {
  /** A float in [0, 1). */
  float (): number
  /** An integer in [0, below). */
  int (below: number): number
}

const FLOAT_STEPS = 2 ** 31

/** Creates a generator; equal seeds give equal sequences. */
export function createRng (seed: number): Rng {
  const generator = xoroshiro128plus(seed | 0)
  return {
    float: () => uniformInt(generator, 0, FLOAT_STEPS - 1) / FLOAT_STEPS,
    int: below => uniformInt(generator, 0, below - 1)
  }
}
