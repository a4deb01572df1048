import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { RequestPlan } from '../flow/requestPlan.ts'
import type { RunningAttempt } from '../flow/runningAttempt.ts'
import { UnansweredAttempts } from '../flow/unansweredAttempts.ts'

const PLAN = { fingerprint: 'f' } as RequestPlan

function buildAttempt (endpoint: string, isDraining = false): RunningAttempt {
  const entry = { endpoint, incarnation: `${endpoint}@1`, pool: 'p', address: '127.0.0.1:1', dataCentre: 'z', slots: 1, isDraining, models: [] }
  return { attempt: { isSent: true }, record: new EndpointRecord(entry), startedAtMs: 0 } as RunningAttempt
}

function createUnanswered (): { unanswered: UnansweredAttempts, ended: Set<EndpointRecord>, crashed: string[] } {
  const ended = new Set<EndpointRecord>()
  const crashed: string[] = []
  const unanswered = new UnansweredAttempts({ isCurrent: record => !ended.has(record), recordCrash: (_plan, attempt) => crashed.push(attempt.record.entry.endpoint) })
  return { unanswered, ended, crashed }
}

test('an unanswered attempt counts as a crash once, when the incarnation of its endpoint ends', t => {
  const { unanswered, crashed } = createUnanswered()
  const [first, second] = [buildAttempt('e1'), buildAttempt('e2')]
  unanswered.recordEnd(PLAN, first)
  unanswered.recordEnd(PLAN, second)
  t.deepEqual(crashed, [])
  unanswered.handleIncarnationEnded(first.record)
  unanswered.handleIncarnationEnded(first.record)
  t.deepEqual(crashed, ['e1'])
})

test('an attempt that ends unanswered after the incarnation of its endpoint counts at once', t => {
  const { unanswered, ended, crashed } = createUnanswered()
  const attempt = buildAttempt('e1')
  ended.add(attempt.record)
  unanswered.recordEnd(PLAN, attempt)
  t.deepEqual(crashed, ['e1'])
})

test('an endpoint that had announced its end did not crash', t => {
  const { unanswered, crashed } = createUnanswered()
  const [draining, drainingLater] = [buildAttempt('e1', true), buildAttempt('e2')]
  unanswered.recordEnd(PLAN, draining)
  unanswered.recordEnd(PLAN, drainingLater)
  drainingLater.record.entry = { ...drainingLater.record.entry, isDraining: true }
  unanswered.handleIncarnationEnded(draining.record)
  unanswered.handleIncarnationEnded(drainingLater.record)
  t.deepEqual(crashed, [])
})

test.serial('an incarnation that ends long after the attempt is not evidence against it', t => {
  const clock = install()
  try {
    const { unanswered, crashed } = createUnanswered()
    const attempt = buildAttempt('e1')
    unanswered.recordEnd(PLAN, attempt)
    clock.tick(10_001)
    unanswered.handleIncarnationEnded(attempt.record)
    t.deepEqual(crashed, [])
  } finally {
    clock.uninstall()
  }
})
