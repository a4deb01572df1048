import type { Job } from '../model/job.ts'
import { BasePolicy } from './basePolicy.ts'

/** Sees true caches and queues and takes the engine where the first token comes soonest. */
export class AllKnowingPolicy extends BasePolicy {
  protected pick (job: Job, open: number[]): number {
    let best = open[0]
    let least = Infinity
    for (const i of open) {
      const engine = this.world.engines[i]
      if (!engine.isUp) continue
      const cost = job.promptTokens - engine.countFutureCached(job) + engine.countQueuedTokens() * this.waitWeight(job)
      if (cost < least) [best, least] = [i, cost]
    }
    return best
  }

  protected waitWeight (_job: Job): number {
    return 1
  }
}

/** The same, but long jobs mind waiting less than recomputing. */
export class AllKnowingReusePolicy extends AllKnowingPolicy {
  protected override waitWeight (job: Job): number {
    return job.job === 'long' ? 0.3 : 0.7
  }
}
