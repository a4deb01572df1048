import { createRng, hashText } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { Deployment } from './deployments.ts'
import type { Job } from './job.ts'
import { RUN_DURATION_MS } from './scenarios.ts'
import type { Scenario } from './scenarios.ts'

/** Exponent of the Zipf distribution of manuals and sections. */
const ZIPF_POWER = 0.9

/** Builds reproducible traffic with nested prefixes from a seed. Arrivals form a Poisson process whose rate follows the scenario. */
export function buildTraffic (deployment: Deployment, scenario: Scenario, seed: number): Job[] {
  const rng = createRng(seed)
  const jobs: Job[] = []
  const seen = new Set<number>()
  for (let atMs = 0; ;) {
    atMs += -Math.log(1 - rng.drawFloat()) / deployment.peakPerS * 1_000
    if (atMs >= RUN_DURATION_MS) return jobs
    if (rng.drawFloat() >= scenario.rate(atMs)) continue
    jobs.push(buildJob(deployment, scenario, rng, atMs, jobs.length, seen))
  }
}

function buildJob (deployment: Deployment, scenario: Scenario, rng: Rng, atMs: number, id: number, seen: Set<number>): Job {
  const isShifted = atMs >= scenario.shiftAtMs
  const organisation = drawWeighted(rng, deployment.organisations)
  const turn = isShifted ? 7 : 0
  const manual = (drawZipf(rng, deployment.manuals) + turn) % deployment.manuals
  const section = (drawZipf(rng, deployment.sections) + turn) % deployment.sections
  const edition = isShifted && organisation === 0 ? 1 : 0
  const manualId = (organisation * 100 + manual) * 2 + edition
  const segments = [
    { id: manualId, tokens: deployment.manualTokens },
    { id: 10_000 + manualId * 100 + section, tokens: deployment.sectionTokens },
    { id: 1_000_000 + id, tokens: Math.round(deployment.caseTokens * (0.5 + rng.drawFloat())) }
  ]
  const levels: Job['levels'] = []
  let freshTokens = 0
  for (const segment of segments) {
    levels.push({ key: hashText(levels.at(-1)?.key ?? '', String(segment.id)), tokens: segment.tokens + (levels.at(-1)?.tokens ?? 0) })
    if (!seen.has(segment.id)) freshTokens += segment.tokens
    seen.add(segment.id)
  }
  return {
    id,
    organisation,
    atMs,
    job: rng.drawFloat() < deployment.longShare ? 'long' : 'short',
    router: rng.drawInt(deployment.routers.reduce((sum, count) => sum + count, 0)),
    segments,
    levels,
    promptTokens: segments.reduce((sum, segment) => sum + segment.tokens, 0),
    outputTokens: Math.round(deployment.outputTokens * (0.5 + rng.drawFloat())),
    freshTokens
  }
}

function drawZipf (rng: Rng, count: number): number {
  return drawWeighted(rng, Array.from({ length: count }, (_, i) => (i + 1) ** -ZIPF_POWER))
}

function drawWeighted (rng: Rng, weights: number[]): number {
  let left = rng.drawFloat() * weights.reduce((sum, weight) => sum + weight, 0)
  for (const [i, weight] of weights.entries()) {
    left -= weight
    if (left < 0) return i
  }
  return weights.length - 1
}
