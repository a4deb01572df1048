import { rankEndpoints } from '../../src/index.ts'
import { readKeySeed } from '../../src/hashSeed.ts'
import type { Job } from '../model/job.ts'
import { BasePolicy } from './basePolicy.ts'

/** Any engine. */
export class RandomPolicy extends BasePolicy {
  protected pick (_job: Job, open: number[]): number {
    return open[this.rng.int(open.length)]
  }
}

/** Engine with the fewest requests known; equal ones are drawn from. */
export class LeastLoadedPolicy extends BasePolicy {
  protected pick (_job: Job, open: number[]): number {
    const least = Math.min(...open.map(i => this.countLoad(i)))
    const equal = open.filter(i => this.countLoad(i) === least)
    return equal[this.rng.int(equal.length)]
  }
}

/** Hash of the whole prompt. */
export class StickyPolicy extends BasePolicy {
  protected pick (job: Job, open: number[]): number {
    return pickByHash(job.levels[job.levels.length - 1].key, open)
  }
}

/** Consistent hash of the outermost level. */
export class SingleLevelPolicy extends BasePolicy {
  protected pick (job: Job, open: number[]): number {
    return pickByHash(job.levels[0].key, open)
  }
}

function pickByHash (key: string, open: number[]): number {
  return rankEndpoints(key, open.map(i => ({ endpoint: String(i), index: i, weight: 1, seed: readKeySeed(`engine-${i}`) })))[0].index
}
