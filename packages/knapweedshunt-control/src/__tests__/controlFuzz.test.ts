import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'
import { DEFAULT_MEMBERSHIP_OPTIONS } from 'knapweedshunt-membership'
import type { ResourceSnapshot } from 'knapweedshunt-types'
import { ControlNode } from '../controlNode.ts'
import { commandsArbitrary, runCommands } from './fuzzCommands.ts'
import { CORRECT_VARIANT } from './simulation.ts'
import type { Variant } from './simulation.ts'

const SEED = Number(process.env.FUZZ_SEED ?? 20261203)
const RUNS = Number(process.env.FUZZ_RUNS ?? 25)
const FAULTY_VARIANT_RUNS = 25

/**
 * Runs random command sequences until one violates an invariant; returns the violations with the seed and commands, or null.
 * Each run has its own clock, so that no timer of a run fires in the next one.
 */
async function runFuzz (runs: number, variant?: Variant): Promise<string | null> {
  for (const [seed, commands] of fc.sample(fc.tuple(fc.nat(), commandsArbitrary), { seed: SEED, numRuns: runs })) {
    const clock = FakeTimers.install()
    try {
      const violations = await runCommands(clock, seed, commands, variant)
      if (violations.length > 0) return `${violations.slice(0, 3).join('; ')}: ${seed} ${JSON.stringify(commands)}`
    } finally {
      clock.uninstall()
    }
  }
  return null
}

function createFaultyVariant (injectFault: (node: ControlNode) => void): Variant {
  return {
    ...CORRECT_VARIANT,
    createNode: setup => {
      const node = new ControlNode(setup)
      injectFault(node)
      return node
    }
  }
}

test.serial('random faults violate no invariant of the control nodes', async t => {
  t.is(await runFuzz(RUNS), null)
})

const FAULTY_VARIANTS: Array<[string, RegExp, Variant]> = [
  ['in force is reported without the VM list', /in force, but not on/, { ...CORRECT_VARIANT, describe: (revision, evidence) => CORRECT_VARIANT.describe(revision, { ...evidence, listed: [] }) }],
  ['in force is reported from live VMs only', /in force, but not on/, { ...CORRECT_VARIANT, describe: (revision, evidence) => CORRECT_VARIANT.describe(revision, { listed: [], vms: evidence.vms.filter(view => view.state === 'live') }) }],
  ['peers forward no changes', /is not in force/, createFaultyVariant(node => { node.replica.listChangesAfter = () => null; node.replica.applyChanges = () => false })],
  ['changes are applied out of order', /regressed from revision/, createFaultyVariant(node => {
    let currentSnapshot = node.replica.snapshot
    Object.defineProperty(node.replica, 'snapshot', { get: () => currentSnapshot })
    node.replica.applyChanges = changes => changes.length > 0 && replaceSnapshot({ revision: changes[0].revision, resources: [] })
    node.replica.applySnapshot = replaceSnapshot
    node.replica.listChangesAfter = () => [{ revision: currentSnapshot.revision, changeId: '', ops: [] }]
    function replaceSnapshot (snapshot: ResourceSnapshot) {
      currentSnapshot = snapshot
      return true
    }
  })],
  ['dead VMs are forgotten at once', /after dead/, { ...CORRECT_VARIANT, createNode: setup => new ControlNode({ ...setup, membership: { ...DEFAULT_MEMBERSHIP_OPTIONS, deadRetentionMs: 0 } }) }]
]

for (const [name, expectedViolation, variant] of FAULTY_VARIANTS) {
  test.serial(`the fuzz test detects a fault: ${name}`, async t => {
    t.regex(await runFuzz(FAULTY_VARIANT_RUNS, variant) ?? 'nothing', expectedViolation)
  })
}
