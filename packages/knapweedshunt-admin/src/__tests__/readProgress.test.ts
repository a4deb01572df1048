import test from 'ava'
import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Resource } from 'knapweedshunt-types'
import type { AdminContext } from '../adminContext.ts'
import { readProgress } from '../readProgress.ts'

const MODEL_POOL: Resource = { kind: 'EndpointPool', name: 'p', revision: 1, spec: { type: 'model', model: 'm', weightsVersion: 'w1', objective: 'tail', floor: 1, maxParallelLoads: 1 } }

function buildRollout (name: string, revision: number): Resource {
  return { kind: 'WeightsRollout', name, revision, spec: { pool: 'p', weightsVersion: 'w2', paused: false, undo: false } }
}

test('each roll-out reports its own progress, and only platform failures count as unknown', async t => {
  const read = (platform: Partial<AdminContext['platform']>) => async (resource: Resource, resources: Resource[]) => {
    return (await readProgress({ platform } as AdminContext, resource, resources, []))?.reason ?? null
  }
  const up = read({ read: async () => null })
  const down = read({ read: async () => { throw new PlatformUnreachableError('The platform did not answer.') } })
  const rollouts = [buildRollout('a', 2), buildRollout('b', 3)]
  t.is(await up(rollouts[0], [MODEL_POOL, ...rollouts]), 'Superseded')
  t.is(await up(rollouts[1], [MODEL_POOL, ...rollouts]), 'Running')
  t.is(await down(rollouts[1], [MODEL_POOL, ...rollouts]), 'PlatformNotReached')
  t.is(await up(rollouts[0], rollouts), 'NoModelPool')
  t.is(await up(MODEL_POOL, [MODEL_POOL]), null)
  await t.throwsAsync(read({ read: async () => { throw new TypeError('broken') } })(rollouts[1], [MODEL_POOL, ...rollouts]), { instanceOf: TypeError })
})

// Guards against a list of resources that cannot be shown because of one row that another writer has left.
test('a roll-out whose row cannot be read has no progress', async t => {
  const rollout = buildRollout('a', 2)
  for (const value of [undefined, null, 'x', 7, [], {}, { slots: 1 }]) {
    const platform: Partial<AdminContext['platform']> = { read: async () => ({ key: 'pool/p', version: 1, value }) }
    t.is((await readProgress({ platform } as AdminContext, rollout, [MODEL_POOL, rollout], []))?.reason, 'RowUnreadable')
  }
})
