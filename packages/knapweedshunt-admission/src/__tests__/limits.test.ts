import test from 'ava'
import { install } from '@sinonjs/fake-timers'
import { createRng } from 'knapweedshunt-utils'
import { Admission } from '../admission.ts'
import { DEFAULT_ADMISSION_OPTIONS } from '../admissionOptions.ts'

const SEED = 20_261_203
const LIMIT = { requestsPerSecond: 40, concurrent: 12 }
const STEP_MS = 10
const EXCHANGE_MS = 500
const SECONDS = 60
const POOL = 'dispatch'

interface Plan {
  vms: number
  /** VMs from this one on are heard by nobody. */
  heard: number
  /** Requests offered per second, by VM. */
  offered (vm: number, second: number): number
  holdMs: number
}

interface Totals {
  offered: number
  admitted: number
  peak: number
  byVm: number[]
}

/** Offers requests of one limited organisation to VMs that exchange demand. */
function play (plan: Plan): Totals {
  const clock = install()
  try {
    const rng = createRng(SEED)
    const vms = Array.from({ length: plan.vms }, (_, i) => buildVm(i, plan.vms))
    const running: Array<{ vm: number, requestId: string, untilMs: number }> = []
    const totals: Totals = { offered: 0, admitted: 0, peak: 0, byVm: vms.map(() => 0) }
    for (let ms = 0; ms < SECONDS * 1_000; ms += STEP_MS) {
      clock.tick(STEP_MS)
      for (const one of running.splice(0)) {
        if (one.untilMs > ms) running.push(one)
        else vms[one.vm].take({ type: 'released', requestId: one.requestId })
      }
      if (ms % EXCHANGE_MS === 0) exchange(vms.slice(0, plan.heard))
      vms.forEach((admission, vm) => {
        if (rng.float() >= plan.offered(vm, ms / 1_000) * STEP_MS / 1_000) return
        totals.offered++
        const requestId = `${vm}-${ms}`
        const actions = admission.take({ type: 'offered', request: { requestId, organisation: 'a', pool: POOL, priorityClass: 'x', deadlineAtMs: 1e9, tokens: 1 } })
        if (actions[0]?.type !== 'admit') return
        running.push({ vm, requestId, untilMs: ms + plan.holdMs })
        totals.admitted++
        totals.byVm[vm]++
        totals.peak = Math.max(totals.peak, running.length)
      })
    }
    return totals
  } finally {
    clock.uninstall()
  }
}

function buildVm (i: number, count: number): Admission {
  const admission = new Admission({ ...DEFAULT_ADMISSION_OPTIONS, vm: `vm-${i}`, seed: i })
  admission.take({ type: 'vms', count, silentMs: 3 * EXCHANGE_MS })
  admission.take({ type: 'rules', rules: [{ organisation: 'a', weight: 1, ...LIMIT }] })
  admission.take({ type: 'endpoints', pool: POOL, endpoints: [{ endpoint: 'e', incarnation: 'i' }] })
  return admission
}

function exchange (vms: Admission[]): void {
  const demands = vms.map(vm => vm.listDemands(8))
  vms.forEach((vm, i) => demands.forEach((demand, j) => { if (i !== j) vm.take({ type: 'demand', vm: `vm-${j}`, demands: demand }) }))
}

test.serial('VMs that hear nobody keep to the limit together', t => {
  const { admitted, peak } = play({ vms: 6, heard: 0, offered: () => 30, holdMs: 100 })
  t.true(admitted <= LIMIT.requestsPerSecond * SECONDS + 2 * LIMIT.requestsPerSecond)
  t.true(peak <= LIMIT.concurrent)
})

test.serial('the limit follows demand to one VM', t => {
  const { byVm } = play({ vms: 6, heard: 6, offered: vm => vm === 2 ? 90 : 0, holdMs: 20 })
  t.true(byVm[2] >= 0.95 * LIMIT.requestsPerSecond * SECONDS)
})

test.serial('moving demand stays within the limit but for the exchange\'s lag', t => {
  const { admitted } = play({ vms: 6, heard: 6, offered: (vm, second) => vm === Math.floor(second / 10) ? 90 : 5, holdMs: 20 })
  t.true(admitted <= 1.1 * LIMIT.requestsPerSecond * SECONDS)
  t.true(admitted >= 0.9 * LIMIT.requestsPerSecond * SECONDS)
})

test.serial('VMs that are heard leave silent ones their share', t => {
  const { admitted, peak } = play({ vms: 6, heard: 3, offered: () => 30, holdMs: 100 })
  t.true(admitted <= 1.05 * LIMIT.requestsPerSecond * SECONDS)
  t.true(peak <= LIMIT.concurrent + 3)
})

test.serial('light traffic is never limited', t => {
  const { offered, admitted } = play({ vms: 3, heard: 3, offered: () => 0.7, holdMs: 100 })
  t.true(offered > 60)
  t.is(admitted, offered)
})
