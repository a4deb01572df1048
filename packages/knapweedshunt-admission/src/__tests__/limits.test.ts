import test from 'ava'
import { install } from '@sinonjs/fake-timers'
import { createRng } from 'knapweedshunt-utils'
import { Admission } from '../admission.ts'
import { DEFAULT_ADMISSION_OPTIONS } from '../admissionOptions.ts'

const SEED = 20_261_203
const LIMIT = { requestsPerSecond: 40, concurrent: 12 }
const STEP_MS = 10
const EXCHANGE_INTERVAL_MS = 500
const DURATION_S = 60
const POOL = 'dispatch'

interface Scenario {
  vmCount: number
  /** Number of VMs that exchange demands, starting with the first; the others neither send nor receive any. */
  reportingCount: number
  /** Requests offered per second, by VM. */
  offeredPerS (vm: number, second: number): number
  holdMs: number
}

interface Totals {
  offered: number
  admitted: number
  peakConcurrent: number
  byVm: number[]
}

/** Offers requests of one limited organisation to VMs that exchange demands. */
function runScenario (scenario: Scenario): Totals {
  const clock = install()
  try {
    const rng = createRng(SEED)
    const vms = Array.from({ length: scenario.vmCount }, (_, i) => buildVm(i, scenario.vmCount))
    const running: Array<{ vm: number, requestId: string, untilMs: number }> = []
    const totals: Totals = { offered: 0, admitted: 0, peakConcurrent: 0, byVm: vms.map(() => 0) }
    for (let ms = 0; ms < DURATION_S * 1_000; ms += STEP_MS) {
      clock.tick(STEP_MS)
      for (const one of running.splice(0)) {
        if (one.untilMs > ms) running.push(one)
        else vms[one.vm].handleEvent({ type: 'released', requestId: one.requestId })
      }
      if (ms % EXCHANGE_INTERVAL_MS === 0) exchangeDemands(vms.slice(0, scenario.reportingCount))
      vms.forEach((admission, vm) => {
        if (rng.drawFloat() >= scenario.offeredPerS(vm, ms / 1_000) * STEP_MS / 1_000) return
        totals.offered++
        const requestId = `${vm}-${ms}`
        const actions = admission.handleEvent({ type: 'offered', request: { requestId, organisation: 'a', pool: POOL, priorityClass: 'x', deadlineAtMs: 1e9, tokens: 1 } })
        if (actions[0]?.type !== 'admit') return
        running.push({ vm, requestId, untilMs: ms + scenario.holdMs })
        totals.admitted++
        totals.byVm[vm]++
        totals.peakConcurrent = Math.max(totals.peakConcurrent, running.length)
      })
    }
    return totals
  } finally {
    clock.uninstall()
  }
}

function buildVm (i: number, vmCount: number): Admission {
  const admission = new Admission({ ...DEFAULT_ADMISSION_OPTIONS, vm: `vm-${i}`, seed: i })
  admission.handleEvent({ type: 'vms', count: vmCount, peerTimeoutMs: 3 * EXCHANGE_INTERVAL_MS })
  admission.handleEvent({ type: 'rules', rules: [{ organisation: 'a', weight: 1, ...LIMIT }] })
  admission.handleEvent({ type: 'endpoints', pool: POOL, endpoints: [{ endpoint: 'e', incarnation: 'i' }] })
  return admission
}

function exchangeDemands (vms: Admission[]): void {
  const demands = vms.map(vm => vm.listDemands(8))
  vms.forEach((vm, i) => demands.forEach((demand, j) => { if (i !== j) vm.handleEvent({ type: 'demand', vm: `vm-${j}`, demands: demand }) }))
}

test.serial('VMs without any exchange keep to the limit together', t => {
  const { admitted, peakConcurrent } = runScenario({ vmCount: 6, reportingCount: 0, offeredPerS: () => 30, holdMs: 100 })
  t.true(admitted <= LIMIT.requestsPerSecond * DURATION_S + 2 * LIMIT.requestsPerSecond)
  t.true(peakConcurrent <= LIMIT.concurrent)
})

test.serial('the limit follows demand to one VM', t => {
  const { byVm } = runScenario({ vmCount: 6, reportingCount: 6, offeredPerS: vm => vm === 2 ? 90 : 0, holdMs: 20 })
  t.true(byVm[2] >= 0.95 * LIMIT.requestsPerSecond * DURATION_S)
})

test.serial('demand that moves between VMs stays within the limit except for the exchange delay', t => {
  const { admitted } = runScenario({ vmCount: 6, reportingCount: 6, offeredPerS: (vm, second) => vm === Math.floor(second / 10) ? 90 : 5, holdMs: 20 })
  t.true(admitted <= 1.1 * LIMIT.requestsPerSecond * DURATION_S)
  t.true(admitted >= 0.9 * LIMIT.requestsPerSecond * DURATION_S)
})

test.serial('VMs that exchange demands leave silent ones their share', t => {
  const { admitted, peakConcurrent } = runScenario({ vmCount: 6, reportingCount: 3, offeredPerS: () => 30, holdMs: 100 })
  t.true(admitted <= 1.05 * LIMIT.requestsPerSecond * DURATION_S)
  t.true(peakConcurrent <= LIMIT.concurrent + 3)
})

test.serial('light traffic is never limited', t => {
  const { offered, admitted } = runScenario({ vmCount: 3, reportingCount: 3, offeredPerS: () => 0.7, holdMs: 100 })
  t.true(offered > 60)
  t.is(admitted, offered)
})
