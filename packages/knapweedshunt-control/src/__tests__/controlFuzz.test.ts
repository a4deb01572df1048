import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'
import { DEFAULT_MEMBERSHIP_OPTIONS } from 'knapweedshunt-membership'
import type { ResourceSnapshot } from 'knapweedshunt-types'
import { ControlNode } from '../controlNode.ts'
import { commandsArbitrary, runCommands } from './fuzzCommands.ts'
import { RIGHT } from './simulation.ts'
import type { Variant } from './simulation.ts'

const SEED = Number(process.env.FUZZ_SEED ?? 20261203)
const RUNS = Number(process.env.FUZZ_RUNS ?? 25)
const BROKEN_RUNS = 25

/** Runs until something goes wrong; each run has its own clock, so that nothing of it goes on. */
async function fuzz (runs: number, variant?: Variant): Promise<string | null> {
  for (const [seed, commands] of fc.sample(fc.tuple(fc.nat(), commandsArbitrary), { seed: SEED, numRuns: runs })) {
    const clock = FakeTimers.install()
    try {
      const problems = await runCommands(clock, seed, commands, variant)
      if (problems.length > 0) return `${problems.slice(0, 3).join('; ')}: ${seed} ${JSON.stringify(commands)}`
    } finally {
      clock.uninstall()
    }
  }
  return null
}

function breakNode (spoil: (node: ControlNode) => void): Variant {
  return {
    ...RIGHT,
    createNode: setup => {
      const node = new ControlNode(setup)
      spoil(node)
      return node
    }
  }
}

test.serial('controls under faults', async t => {
  t.is(await fuzz(RUNS), null)
})

const BROKEN: Array<[string, RegExp, Variant]> = [
  ['in force without the list', /in force, but not on/, { ...RIGHT, describe: (revision, evidence) => RIGHT.describe(revision, { ...evidence, listed: [] }) }],
  ['in force by live VMs alone', /in force, but not on/, { ...RIGHT, describe: (revision, evidence) => RIGHT.describe(revision, { listed: [], vms: evidence.vms.filter(view => view.state === 'live') }) }],
  ['peers pass nothing on', /is not in force/, breakNode(node => { node.replica.listChangesAfter = () => null; node.replica.takeChanges = () => false })],
  ['changes are taken in any order', /went back/, breakNode(node => {
    let held = node.replica.snapshot
    Object.defineProperty(node.replica, 'snapshot', { get: () => held })
    node.replica.takeChanges = changes => changes.length > 0 && replace({ revision: changes[0].revision, resources: [] })
    node.replica.takeSnapshot = replace
    node.replica.listChangesAfter = () => [{ revision: held.revision, changeId: '', ops: [] }]
    function replace (snapshot: ResourceSnapshot) {
      held = snapshot
      return true
    }
  })],
  ['the dead are forgotten', /after dead/, { ...RIGHT, createNode: setup => new ControlNode({ ...setup, membership: { ...DEFAULT_MEMBERSHIP_OPTIONS, deadRetentionMs: 0 } }) }]
]

for (const [name, problem, variant] of BROKEN) {
  test.serial(`the fuzz finds: ${name}`, async t => {
    t.regex(await fuzz(BROKEN_RUNS, variant) ?? 'nothing', problem)
  })
}
