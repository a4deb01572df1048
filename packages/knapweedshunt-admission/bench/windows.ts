/** Compares adaptive with fixed concurrency windows on a small engine model under overload, with a period of slow prefill in the middle. */
import fs from 'node:fs'
import { DEFAULT_ADMISSION_OPTIONS, ConcurrencyWindow } from 'knapweedshunt-admission'
import { createRng } from 'knapweedshunt-utils'

const SEED = 1
const STEP_MS = 5
const DURATION_S = 240
/** Part of the run in which the engine's prefill runs at a third of its speed, in seconds. */
const SLOW_FROM_S = 80
const SLOW_TO_S = 160
/** Delays before this time are not counted: each window starts at its initial size and needs time to settle. */
const WARM_UP_MS = 20_000
const PROMPT_TOKENS = 1_000
/** Prefill throughput, shared by all requests. */
const PREFILL_TOKENS_PER_MS = 10
const DECODE_MS = 1_000
const FIXED_SIZES = [4, 8, 16, 32, 64, 128]
const FIGURES_PATH = 'docs/figures/admissionWindows.json'

interface RunningRequest {
  startedAtMs: number
  remainingTokens: number
  firstTokenAtMs: number | null
}

interface ResultRow {
  window: string
  /** Requests finished per second. */
  finishedPerSecond: number
  /** Time to first token at the engine, in milliseconds. */
  p50Ms: number
  p95Ms: number
  slowP95Ms: number
  finalWindow: number
}

/** Simulates one window under saturation: a new request starts whenever the window is not full. */
function simulateWindow (name: string, window: ConcurrencyWindow): ResultRow {
  const rng = createRng(SEED)
  const running: RunningRequest[] = []
  const delaysMs: number[] = []
  const slowDelaysMs: number[] = []
  let finishedCount = 0
  for (let ms = 0; ms < DURATION_S * 1_000; ms += STEP_MS) {
    const isSlow = ms >= SLOW_FROM_S * 1_000 && ms < SLOW_TO_S * 1_000
    while (!window.isFull()) {
      window.recordStart()
      running.push({ startedAtMs: ms, remainingTokens: PROMPT_TOKENS * (0.5 + rng.drawFloat()), firstTokenAtMs: null })
    }
    const prefilling = running.filter(one => one.firstTokenAtMs === null)
    const tokensPerRequest = PREFILL_TOKENS_PER_MS * STEP_MS / (isSlow ? 3 : 1) / Math.max(1, prefilling.length)
    for (const one of prefilling) {
      one.remainingTokens -= tokensPerRequest
      if (one.remainingTokens > 0) continue
      one.firstTokenAtMs = ms
      const list = isSlow ? slowDelaysMs : delaysMs
      if (ms >= WARM_UP_MS) list.push(ms - one.startedAtMs)
      window.recordFirstTokenDelay(ms - one.startedAtMs, PROMPT_TOKENS)
    }
    for (const one of running.splice(0)) {
      if (one.firstTokenAtMs === null || ms - one.firstTokenAtMs < DECODE_MS) running.push(one)
      else {
        window.recordFinish()
        finishedCount++
      }
    }
  }
  return { window: name, finishedPerSecond: finishedCount / DURATION_S, p50Ms: computeQuantile(delaysMs, 0.5), p95Ms: computeQuantile(delaysMs, 0.95), slowP95Ms: computeQuantile(slowDelaysMs, 0.95), finalWindow: window.size }
}

function computeQuantile (values: number[], quantile: number): number {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length * quantile)]
}

const { window: options } = DEFAULT_ADMISSION_OPTIONS
const rows = [
  ...FIXED_SIZES.map(size => simulateWindow(`fixed ${size}`, new ConcurrencyWindow({ ...options, min: size, initial: size, max: size }))),
  simulateWindow('adaptive', new ConcurrencyWindow(options))
]
console.table(rows)
fs.writeFileSync(FIGURES_PATH, JSON.stringify({ targetMs: options.targetMs + PROMPT_TOKENS * options.allowanceMsPerToken, rows }, null, 2) + '\n')
