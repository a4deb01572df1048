import { rankEndpoints } from '../../src/index.ts'
import { parseKeySeed } from '../../src/hashSeed.ts'
import type { Job } from '../model/job.ts'
import { BasePolicy } from './basePolicy.ts'

/** Selects any engine at random. */
export class RandomPolicy extends BasePolicy {
  protected selectEngine (_job: Job, eligible: number[]): number {
    return eligible[this.rng.drawInt(eligible.length)]
  }
}

/** Selects the engine with the fewest known requests, at random among equal ones. */
export class LeastLoadedPolicy extends BasePolicy {
  protected selectEngine (_job: Job, eligible: number[]): number {
    const minRequests = Math.min(...eligible.map(i => this.countRequests(i)))
    const equal = eligible.filter(i => this.countRequests(i) === minRequests)
    return equal[this.rng.drawInt(equal.length)]
  }
}

/** Selects by a rendezvous hash of the whole prompt. */
export class StickyPolicy extends BasePolicy {
  protected selectEngine (job: Job, eligible: number[]): number {
    return selectByHash(job.levels[job.levels.length - 1].key, eligible)
  }
}

/** Selects by a rendezvous hash of the outermost level. */
export class SingleLevelPolicy extends BasePolicy {
  protected selectEngine (job: Job, eligible: number[]): number {
    return selectByHash(job.levels[0].key, eligible)
  }
}

function selectByHash (key: string, eligible: number[]): number {
  return rankEndpoints(key, eligible.map(i => ({ endpoint: String(i), index: i, weight: 1, seed: parseKeySeed(`engine-${i}`) })))[0].index
}
