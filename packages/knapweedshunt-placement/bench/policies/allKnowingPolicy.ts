import type { KeptEntry } from '../../src/index.ts'
import type { Job } from '../model/job.ts'
import { BasePolicy } from './basePolicy.ts'
import type { PolicyChoice } from './policy.ts'

/** Sees true caches and queues and takes the engine where the first token comes soonest. */
export class AllKnowingPolicy extends BasePolicy {
  #kept = new Set<string>()

  override takeKept (entries: KeptEntry[]): void {
    this.#kept = new Set(entries.map(entry => entry.key))
  }

  override choose (job: Job, excluded: number[]): PolicyChoice | null {
    const choice = super.choose(job, excluded)
    const kept = job.levels.findLast(level => this.#kept.has(level.key))
    return choice && { ...choice, importKey: kept?.key ?? null }
  }

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
