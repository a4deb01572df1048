import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import { RelaySelector } from '../relaySelector.ts'

const VMS = [{ vm: 'near', dataCentre: 'z1' }, { vm: 'far', dataCentre: 'z2' }]

function buildSelector (reached: Record<string, number>, relayedCount = 0): RelaySelector {
  const selector = new RelaySelector('z1')
  selector.applyVms(VMS)
  for (const [vm, count] of Object.entries(reached)) selector.applyReport(vm, { pools: [{ pool: 'p', reached: count, known: 10 }], relayedCount })
  return selector
}

function buildReach (reached: number): { pool: string, reached: number, known: number } {
  return { pool: 'p', reached, known: 10 }
}

test.serial('a VM that reaches half of the endpoints uses them itself', t => {
  t.deepEqual(buildSelector({ near: 10 }).select(buildReach(5), []), { type: 'direct' })
  t.deepEqual(buildSelector({ near: 10 }).select(buildReach(4), []), { type: 'relay', vm: 'near' })
})

// Guards against relays for endpoints that are down for all VMs.
test.serial('endpoints that no VM reaches cause no relay', t => {
  t.deepEqual(buildSelector({ near: 3, far: 3 }).select(buildReach(2), []), { type: 'direct' })
  t.deepEqual(buildSelector({ near: 0, far: 0 }).select(buildReach(0), []), { type: 'unreached' })
  t.deepEqual(buildSelector({}).select(buildReach(0), []), { type: 'unreached' })
  t.deepEqual(buildSelector({}).select({ pool: 'p', reached: 0, known: 0 }, []), { type: 'direct' })
})

test.serial('a VM of the same data centre is preferred until it carries much more', t => {
  const selector = buildSelector({ near: 10, far: 10 })
  for (let n = 0; n < 8; n++) {
    t.deepEqual(selector.select(buildReach(0), []), { type: 'relay', vm: 'near' })
    selector.recordStart('near')
  }
  selector.recordStart('near')
  t.deepEqual(selector.select(buildReach(0), []), { type: 'relay', vm: 'far' })
  selector.recordEnd('near')
  selector.recordEnd('near')
  t.deepEqual(selector.select(buildReach(0), []), { type: 'relay', vm: 'near' })
})

test.serial('a VM that was tried, failed lately, is gone or has not reported lately is not asked', t => {
  const clock = install()
  try {
    const selector = buildSelector({ near: 10, far: 10 })
    t.deepEqual(selector.select(buildReach(0), ['near']), { type: 'relay', vm: 'far' })
    selector.recordFailure('near')
    t.deepEqual(selector.select(buildReach(0), []), { type: 'relay', vm: 'far' })
    clock.tick(1_001)
    t.deepEqual(selector.select(buildReach(0), []), { type: 'relay', vm: 'near' })
    selector.applyReport('near', null)
    t.deepEqual(selector.select(buildReach(0), []), { type: 'relay', vm: 'far' })
    clock.tick(1_000)
    t.deepEqual(selector.select(buildReach(0), []), { type: 'unreached' })
    selector.applyReport('far', { pools: [{ pool: 'p', reached: 1, known: 10 }], relayedCount: 0 })
    t.deepEqual(selector.select(buildReach(0), []), { type: 'relay', vm: 'far' })
    selector.applyVms([])
    t.deepEqual(selector.select(buildReach(0), []), { type: 'unreached' })
  } finally {
    clock.uninstall()
  }
})
