import test from 'ava'
import type { EndpointRole, EndpointSpec, EndpointView, Resource, WeightsRolloutSpec } from 'knapweedshunt-types'
import { describeDrain } from '../describeDrain.ts'
import { describeRollout } from '../describeRollout.ts'
import { listServingWeights } from '../listServingWeights.ts'
import { DEFAULT_PLANNER_OPTIONS } from '../plannerTypes.ts'
import { listPoolGoals, applyCompletedRollout } from '../poolGoal.ts'
import { EMPTY_ROLLOUT_ROW } from '../rolloutState.ts'

function buildGoal (rollouts: Array<[number, Partial<WeightsRolloutSpec>]>) {
  const pool: Resource = { kind: 'EndpointPool', name: 'p', revision: 1, spec: { type: 'model', model: 'm', weightsVersion: 'w1', objective: 'tail', floor: 2, maxParallelLoads: 1 } }
  const base = { pool: 'p', weightsVersion: 'w2', paused: false, undo: false }
  return listPoolGoals([pool, ...rollouts.map(([revision, spec]): Resource => ({ kind: 'WeightsRollout', name: `r${revision}`, revision, spec: { ...base, ...spec } }))])[0]
}

function buildView (endpoint: string, weightsVersion: string | null, change: { state?: EndpointView['state'], role?: EndpointRole, running?: number } = {}): EndpointView {
  const { state = 'live', role = 'serve' as const, running = 0 } = change
  const load = { endpoint, incarnation: 'i', weightsVersion, role, running, queued: 0, queuedTokens: 0, atMs: 0 }
  return { endpoint, incarnation: 'i', state, weightsVersion, load, loadAgeMs: 0 }
}

test('the roll-out written last applies', t => {
  t.is(buildGoal([[2, { weightsVersion: 'w2' }], [3, { weightsVersion: 'w3' }]]).target.weightsVersion, 'w3')
  t.is(buildGoal([[2, { undo: true }]]).target.weightsVersion, 'w1')
  t.is(buildGoal([]).target.weightsVersion, 'w1')
  const goal = buildGoal([[2, {}]])
  t.is(applyCompletedRollout(goal, goal.key).target.weightsVersion, 'w1')
})

test('endpoints with other weights serve only below the floor', t => {
  const goal = buildGoal([[2, {}]])
  const listServing = (views: EndpointView[]) => listServingWeights(goal, views).filter(entry => entry.isServing).map(entry => `${entry.endpoint} ${entry.weights?.weightsVersion}`)
  t.deepEqual(listServing([buildView('a', 'w1'), buildView('b', 'w2'), buildView('c', 'w0'), buildView('d', null)]), ['a w1', 'b w2'])
  t.deepEqual(listServing([buildView('a', 'w1'), buildView('b', 'w2', { role: 'drain' }), buildView('c', 'w0'), buildView('d', 'w2', { state: 'dead' })]), ['a w1', 'c w0'])
})

test('progress condition of a roll-out', t => {
  const goal = buildGoal([[2, {}]])
  const entry = { dataCentre: 'dc-1', goalKey: goal.key, total: 3, moved: 1, inService: 3 }
  const row = { ...EMPTY_ROLLOUT_ROW, dataCentres: [entry] }
  const read = (present: typeof row, rollout: Partial<WeightsRolloutSpec> = {}) => describeRollout({ ...buildGoal([[2, rollout]]), key: goal.key }, present, DEFAULT_PLANNER_OPTIONS).reason
  t.is(read(row), 'Running')
  t.is(read(row, { paused: true }), 'Paused')
  t.is(read({ ...row, failures: { goalKey: goal.key, inRow: 3 } }), 'Halted')
  t.is(read({ ...row, dataCentres: [{ ...entry, inService: 2 }] }), 'FloorReached')
  t.is(read(row, { undo: true }), 'Undoing')
  t.is(read({ ...row, dataCentres: [{ ...entry, moved: 3 }] }, { undo: true }), 'Undone')
  t.is(read({ ...row, completedKey: goal.key }), 'Complete')
  t.is(describeRollout(goal, row, DEFAULT_PLANNER_OPTIONS).message, 'w2: dc-1 1 of 3.')
})

test('progress condition of a drain', t => {
  const spec = { draining: true } as EndpointSpec
  t.is(describeDrain({ ...spec, draining: false }, null), null)
  t.is(describeDrain(spec, null)?.status, 'unknown')
  t.is(describeDrain(spec, buildView('a', 'w1', { running: 2 }))?.message, '2 requests are in flight.')
  t.is(describeDrain(spec, buildView('a', 'w1'))?.reason, 'Drained')
  t.is(describeDrain(spec, buildView('a', 'w1', { state: 'dead', running: 2 }))?.status, 'true')
})
