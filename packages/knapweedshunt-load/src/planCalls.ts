import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import { buildPrompt } from './buildPrompt.ts'
import type { LoadPreset } from './loadPreset.ts'
import type { PlannedCall } from './plannedCall.ts'

/** Traffic mix, rate, duration and seed of a plan. */
export interface PlanOptions {
  preset: LoadPreset
  /** Mean arrival rate; interarrival times are exponentially distributed. */
  requestsPerSecond: number
  durationMs: number
  seed: number
}

const MS_PER_SECOND = 1_000

/** Plans calls with Poisson arrivals, in order of time. Equal options give equal plans. */
export function * planCalls (options: PlanOptions): Generator<PlannedCall> {
  const rng = createRng(options.seed)
  let atMs = drawInterarrivalMs(options, rng)
  for (let n = 0; atMs < options.durationMs; n++) {
    const organisation = drawByShare(options.preset.organisations, rng)
    const job = drawByShare(options.preset.jobs, rng)
    const prompt = job.type === 'completion' ? buildPrompt(job.shape, organisation.name, rng) : null
    yield { atMs, organisation, job, prompt, key: `load-${options.seed}-${n}-${rng.drawInt(2 ** 30)}` }
    atMs += drawInterarrivalMs(options, rng)
  }
}

function drawInterarrivalMs (options: PlanOptions, rng: Rng): number {
  return -Math.log(1 - rng.drawFloat()) * MS_PER_SECOND / options.requestsPerSecond
}

function drawByShare<T extends { share: number }> (choices: T[], rng: Rng): T {
  const total = choices.reduce((sum, choice) => sum + choice.share, 0)
  let remaining = rng.drawFloat() * total
  for (const choice of choices) {
    remaining -= choice.share
    if (remaining < 0) return choice
  }
  return choices[choices.length - 1]
}
