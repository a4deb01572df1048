import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'
import type { VmSettings } from '../ports/vmSettings.ts'
import { VmRetryBudget } from '../shared/vmRetryBudget.ts'

const VMS = 7
const SEED = Number(process.env.FUZZ_SEED ?? 20_261_204)
const RUNS = Number(process.env.FUZZ_RUNS ?? 300)
const WINDOW_MS = 10_000
const RATIO = 0.2
const RESERVE = 54
const SETTINGS = { retryReserve: RESERVE, retryRatio: RATIO, retryWindowMs: WINDOW_MS } as VmSettings

/** Time that a VM takes to start again, in milliseconds. */
const START_MS = 500

const vm = fc.nat(VMS - 1)
const step = fc.oneof(
  { weight: 3, arbitrary: fc.record({ type: fc.constant('retry' as const), vm, count: fc.integer({ min: 1, max: 30 }) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('retryEverywhere' as const) }) },
  fc.record({ type: fc.constant('succeed' as const), vm, count: fc.integer({ min: 1, max: 40 }) }),
  fc.record({ type: fc.constant('restart' as const), vm }),
  fc.record({ type: fc.constant('restartAll' as const) })
)

interface Fleet {
  budgets: VmRetryBudget[]
  readyAtMs: number[]
  retriesAtMs: number[]
  requestsAtMs: number[]
}

function takeRetries (fleet: Fleet, i: number, count: number): void {
  if (performance.now() < fleet.readyAtMs[i]) return
  for (let n = 0; n < count && fleet.budgets[i].tryTake('p', false); n++) fleet.retriesAtMs.push(performance.now())
}

function restart (fleet: Fleet, i: number): void {
  fleet.readyAtMs[i] = performance.now() + START_MS
  fleet.budgets[i] = new VmRetryBudget(SETTINGS, VMS)
}

function countWithin (timesMs: number[], fromMs: number, toMs: number): number {
  return timesMs.filter(atMs => atMs > fromMs && atMs <= toMs).length
}

/** Checks the window that ends now: repeats of all VMs against the requests of this window or of the one before. */
function checkWindow ({ retriesAtMs, requestsAtMs }: Fleet): void {
  const nowMs = performance.now()
  const requestCount = Math.max(...[0, WINDOW_MS / 2, WINDOW_MS].map(shiftMs => countWithin(requestsAtMs, nowMs - WINDOW_MS - shiftMs, nowMs - shiftMs)))
  const retryCount = countWithin(retriesAtMs, nowMs - WINDOW_MS, nowMs)
  const allowed = RATIO * requestCount + RESERVE
  if (retryCount > allowed) throw new Error(`${retryCount} retries in ${WINDOW_MS} ms, ${allowed} allowed`)
}

// Guards against a retry budget that grows with each restart, since a VM starts without memory of what it spent.
test.serial('retries of all VMs stay within the shared budget while VMs restart', t => {
  t.notThrows(() => fc.assert(fc.property(fc.array(fc.tuple(step, fc.integer({ min: 1, max: 2_000 })), { minLength: 5, maxLength: 80, size: 'max' }), steps => {
    const clock = install()
    try {
      const fleet: Fleet = { budgets: [], readyAtMs: [], retriesAtMs: [], requestsAtMs: [] }
      for (let i = 0; i < VMS; i++) restart(fleet, i)
      for (const [step, ms] of steps) {
        clock.tick(ms)
        switch (step.type) {
          case 'retry': takeRetries(fleet, step.vm, step.count); break
          case 'retryEverywhere': fleet.budgets.forEach((_budget, i) => takeRetries(fleet, i, RESERVE)); break
          case 'succeed': for (let n = 0; n < step.count; n++) { fleet.requestsAtMs.push(performance.now()); fleet.budgets[step.vm].recordSuccess('p') } break
          case 'restart': restart(fleet, step.vm); break
          case 'restartAll': fleet.budgets.forEach((_budget, i) => restart(fleet, i))
        }
        checkWindow(fleet)
      }
    } finally {
      clock.uninstall()
    }
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true }))
})
