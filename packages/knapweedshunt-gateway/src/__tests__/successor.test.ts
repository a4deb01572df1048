import test from 'ava'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import type { FlowDependencies } from '../flow/flowDependencies.ts'
import type { RequestPlan } from '../flow/requestPlan.ts'
import { Successor } from '../flow/successor.ts'
import type { SuccessorParts } from '../flow/successor.ts'
import { REPEATABILITY } from '../ports/gatewayConfig.ts'

const PLAN = { pool: 'p', levels: [], priority: 0, identity: null, relayed: null, deadlineAtMs: Infinity, route: { repeatability: REPEATABILITY.resumed, isStream: true, usesPrefixes: false }, call: { requestId: 'r', lastEventId: null } } as unknown as RequestPlan

// Guards against a stream that goes on at another software version, as its first event came while its successor was chosen.
for (const [began, isSent] of [['v1', false], ['v2', true]] as const) {
  test(`a stream whose first event comes from ${began} is ${isSent ? '' : 'not '}moved to an endpoint of v2 that was being chosen`, async t => {
    const attemptRunner = { canAskSuccessor: true, triedEndpoints: ['e1'], triedPeers: [], softwareVersion: null as string | null }
    let sentCount = 0
    const parts = { attemptRunner, permits: { endpointsLeft: 2, tryReserve: () => true, tryTake: () => true }, finalResponse: { isSettled: false, attemptCount: 1 } } as unknown as SuccessorParts
    const dependencies = {
      stopWindow: { canEnd: () => true },
      checkKey: async () => null,
      findQuarantine: () => null,
      relays: { select: async () => ({ type: 'direct' }) },
      chooser: { findHomeLevels: () => [], choose: () => ({ type: 'chosen', record: { entry: { endpoint: 'e2', softwareVersion: 'v2' } } }) },
      endpointLimits: { recordDemand () {} },
      permitQueue: { countAhead: () => 0, remove () {} },
      incarnationChecks: {
        isConfirmed: async () => {
          attemptRunner.softwareVersion = began
          return true
        }
      },
      streamOrigins: { canBegin: () => true },
      log: { warn () {} }
    } as unknown as FlowDependencies
    const successor = new Successor(dependencies, PLAN, parts, { cause: LOSS_REASON.moved, getLastEventId: () => '1', onSend: () => { sentCount++ } })
    t.is((await successor.result).type, 'failed')
    t.is(sentCount, isSent ? 1 : 0)
  })
}
