import type { Sample } from './sample.ts'

/** Metrics of one set of requests. Times are until the first token. */
export interface Summary {
  requests: number
  hitRate: number
  meanMs: number
  p50Ms: number
  p95Ms: number
  p99Ms: number
  /** Recomputed tokens as a share of all prompt tokens. */
  wasted: number
  imported: number
  /** Highest 99th percentile of any organisation; `worstHitRate` is the lowest hit rate of any. */
  worstP99Ms: number
  worstHitRate: number
}

/** Computes the metrics of a set of requests, which must not be empty. */
export function summarizeSamples (samples: Sample[]): Summary {
  const prompt = sum(samples, sample => sample.promptTokens)
  const groups = groupSamples(samples)
  return {
    requests: samples.length,
    hitRate: countHitRate(samples),
    meanMs: sum(samples, sample => sample.firstTokenMs) / samples.length,
    p50Ms: findPercentile(samples, 0.5),
    p95Ms: findPercentile(samples, 0.95),
    p99Ms: findPercentile(samples, 0.99),
    wasted: sum(samples, sample => sample.wastedTokens) / prompt,
    imported: sum(samples, sample => sample.importedTokens) / prompt,
    worstP99Ms: Math.max(...groups.map(group => findPercentile(group, 0.99))),
    worstHitRate: Math.min(...groups.map(countHitRate))
  }
}

function countHitRate (samples: Sample[]): number {
  return sum(samples, sample => sample.cachedTokens) / sum(samples, sample => sample.promptTokens)
}

function findPercentile (samples: Sample[], share: number): number {
  const sorted = samples.map(sample => sample.firstTokenMs).sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]
}

function sum (samples: Sample[], pick: (sample: Sample) => number): number {
  return samples.reduce((total, sample) => total + pick(sample), 0)
}

function groupSamples (samples: Sample[]): Sample[][] {
  const groups = new Map<number, Sample[]>()
  for (const sample of samples) {
    const group = groups.get(sample.organisation)
    if (group === undefined) groups.set(sample.organisation, [sample])
    else group.push(sample)
  }
  return [...groups.values()]
}
