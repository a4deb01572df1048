import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { CrashedAttempt } from '../flow/crashedAttempt.ts'
import { UnansweredAttempts } from '../flow/unansweredAttempts.ts'

function buildAttempt (endpoint: string, isDraining = false): CrashedAttempt {
  const entry = { endpoint, incarnation: `${endpoint}@1`, pool: 'p', address: '127.0.0.1:1', dataCentre: 'z', slots: 1, isDraining, softwareVersion: 'v1', models: [] }
  return { requestId: 'id', fingerprint: 'f', sharedParts: [], record: new EndpointRecord(entry), startedAtMs: 0 }
}

function createUnanswered (): { unanswered: UnansweredAttempts, ended: Set<EndpointRecord>, crashed: string[] } {
  const ended = new Set<EndpointRecord>()
  const crashed: string[] = []
  const unanswered = new UnansweredAttempts({ isCurrent: record => !ended.has(record), recordCrash: attempt => crashed.push(attempt.record.entry.endpoint) })
  return { unanswered, ended, crashed }
}

test('an unanswered attempt counts as a crash once, when the incarnation of its endpoint ends', t => {
  const { unanswered, crashed } = createUnanswered()
  const [first, second] = [buildAttempt('e1'), buildAttempt('e2')]
  unanswered.recordEnd(first)
  unanswered.recordEnd(second)
  t.deepEqual(crashed, [])
  unanswered.handleIncarnationEnded(first.record)
  unanswered.handleIncarnationEnded(first.record)
  t.deepEqual(crashed, ['e1'])
})

test('an attempt that ends unanswered after the incarnation of its endpoint counts at once', t => {
  const { unanswered, ended, crashed } = createUnanswered()
  const attempt = buildAttempt('e1')
  ended.add(attempt.record)
  unanswered.recordEnd(attempt)
  t.deepEqual(crashed, ['e1'])
})

test('an endpoint that had announced its end did not crash', t => {
  const { unanswered, crashed } = createUnanswered()
  const [draining, drainingLater] = [buildAttempt('e1', true), buildAttempt('e2')]
  unanswered.recordEnd(draining)
  unanswered.recordEnd(drainingLater)
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
    unanswered.recordEnd(attempt)
    clock.tick(10_001)
    unanswered.handleIncarnationEnded(attempt.record)
    t.deepEqual(crashed, [])
  } finally {
    clock.uninstall()
  }
})
