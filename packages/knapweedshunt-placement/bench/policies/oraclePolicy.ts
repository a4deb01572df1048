import type { KvStoreEntry } from '../../src/index.ts'
import type { Job } from '../model/job.ts'
import { BasePolicy } from './basePolicy.ts'
import type { PolicyChoice } from './policy.ts'

/** Reads the actual caches and queues and selects the engine with the earliest first token. Reported as `all-knowing`. */
export class OraclePolicy extends BasePolicy {
  #storedKeys = new Set<string>()

  override updateKvStore (entries: KvStoreEntry[]): void {
    this.#storedKeys = new Set(entries.map(entry => entry.key))
  }

  override choose (job: Job, excluded: number[]): PolicyChoice | null {
    const choice = super.choose(job, excluded)
    const storedLevel = job.levels.findLast(level => this.#storedKeys.has(level.key))
    return choice && { ...choice, importKey: storedLevel?.key ?? null }
  }

  protected selectEngine (job: Job, eligible: number[]): number {
    let best = eligible[0]
    let minCost = Infinity
    for (const i of eligible) {
      const engine = this.context.engines[i]
      if (!engine.isUp) continue
      const cost = job.promptTokens - engine.countFutureCachedTokens(job) + engine.countQueuedTokens() * this.getWaitWeight(job)
      if (cost < minCost) [best, minCost] = [i, cost]
    }
    return best
  }

  protected getWaitWeight (_job: Job): number {
    return 1
  }
}

/** Like {@link OraclePolicy}, but weighs waiting less than recomputing, in particular for long jobs. */
export class OracleReusePolicy extends OraclePolicy {
  protected override getWaitWeight (job: Job): number {
    return job.job === 'long' ? 0.3 : 0.7
  }
}
