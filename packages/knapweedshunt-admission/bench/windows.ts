/** Adaptive against fixed concurrency windows on one small engine model under overload, with a slow spell in the middle. */
import fs from 'node:fs'
import { DEFAULT_ADMISSION_OPTIONS, DelayWindow } from 'knapweedshunt-admission'
import { createRng } from 'knapweedshunt-utils'

const SEED = 1
const STEP_MS = 5
const SECONDS = 240
/** The engine computes at a third of its speed in this part of the run, in seconds. */
const SLOW_FROM = 80
const SLOW_TO = 160
/** Delays before this time are not counted: every window starts from what it is given. */
const WARM_UP_MS = 20_000
const PROMPT_TOKENS = 1_000
/** Prompt tokens computed per millisecond, over all requests. */
const PREFILL_RATE = 10
const DECODE_MS = 1_000
const FIXED = [4, 8, 16, 32, 64, 128]
const FIGURES = 'docs/figures/admissionWindows.json'

interface Running {
  startedAtMs: number
  left: number
  firstTokenAtMs: number | null
}

interface Row {
  window: string
  /** Requests finished per second. */
  finishedPerSecond: number
  /** Time to first token at the engine, milliseconds. */
  p50Ms: number
  p95Ms: number
  slowP95Ms: number
  finalWindow: number
}

/** More requests always wait than the window lets in. */
function play (name: string, window: DelayWindow): Row {
  const rng = createRng(SEED)
  const running: Running[] = []
  const delays: number[] = []
  const slowDelays: number[] = []
  let finished = 0
  for (let ms = 0; ms < SECONDS * 1_000; ms += STEP_MS) {
    const isSlow = ms >= SLOW_FROM * 1_000 && ms < SLOW_TO * 1_000
    while (!window.isFull()) {
      window.noteStarted()
      running.push({ startedAtMs: ms, left: PROMPT_TOKENS * (0.5 + rng.float()), firstTokenAtMs: null })
    }
    const computing = running.filter(one => one.firstTokenAtMs === null)
    const share = PREFILL_RATE * STEP_MS / (isSlow ? 3 : 1) / Math.max(1, computing.length)
    for (const one of computing) {
      one.left -= share
      if (one.left > 0) continue
      one.firstTokenAtMs = ms
      const list = isSlow ? slowDelays : delays
      if (ms >= WARM_UP_MS) list.push(ms - one.startedAtMs)
      window.noteDelay(ms - one.startedAtMs, PROMPT_TOKENS)
    }
    for (const one of running.splice(0)) {
      if (one.firstTokenAtMs === null || ms - one.firstTokenAtMs < DECODE_MS) running.push(one)
      else {
        window.noteFinished()
        finished++
      }
    }
  }
  return { window: name, finishedPerSecond: finished / SECONDS, p50Ms: read(delays, 0.5), p95Ms: read(delays, 0.95), slowP95Ms: read(slowDelays, 0.95), finalWindow: window.size }
}

function read (values: number[], quantile: number): number {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length * quantile)]
}

const { window: options } = DEFAULT_ADMISSION_OPTIONS
const rows = [
  ...FIXED.map(size => play(`fixed ${size}`, new DelayWindow({ ...options, min: size, initial: size, max: size }))),
  play('adaptive', new DelayWindow(options))
]
console.table(rows)
fs.writeFileSync(FIGURES, JSON.stringify({ targetMs: options.targetMs + PROMPT_TOKENS * options.tokenMs, rows }, null, 2) + '\n')
