import test from 'ava'
import { buildRequestTimeline } from '../buildRequestTimeline.ts'

function buildLine (time: number, message: string, context: Record<string, unknown>): string {
  return `  12.5 vm-1 ${JSON.stringify({ context: { part: 'gateway', logLevel: 30, ...context }, message, time })}`
}

const LOG = [
  buildLine(9_000, 'gateway: Endpoint left out.', { decision: 'endpointOut', endpoint: 'e1', reason: 'no answer to a probe' }),
  buildLine(9_100, 'gateway: Endpoint left out.', { decision: 'endpointOut', endpoint: 'e2', reason: 'other' }),
  buildLine(1_000, 'gateway: Endpoint left out.', { decision: 'endpointOut', endpoint: 'e1', reason: 'long ago' }),
  'not a line of the router {',
  buildLine(10_000, 'gateway: Request sent.', { decision: 'sent', requestId: 'r1', endpoint: 'e1', attempt: 1 }),
  buildLine(10_020, 'gateway: Request sent.', { decision: 'sent', requestId: 'r2', endpoint: 'e1', attempt: 1 }),
  buildLine(10_300, 'gateway: Request refused.', { decision: 'refused', requestId: 'r1', status: 502, reason: 'endpoint_lost' })
].join('\n')

test('the timeline has the request\'s lines and events of its endpoints around it', t => {
  const timeline = buildRequestTimeline(LOG, 'r1')
  t.is(timeline.length, 3)
  t.regex(timeline[0], /-1000 ms .*left out.*no answer to a probe/)
  t.regex(timeline[1], /0 ms .*\* .*sent.*endpoint=e1/)
  t.regex(timeline[2], /300 ms .*\* .*refused.*status=502 reason=endpoint_lost/)
})

test('the timeline of an unknown request is empty', t => {
  t.deepEqual(buildRequestTimeline(LOG, 'none'), [])
})

test('the timeline has the marks of the request\'s fingerprint only', t => {
  const log = [
    buildLine(10_000, 'gateway: Request sent.', { decision: 'sent', requestId: 'r1', endpoint: 'e1', fingerprint: 'f1' }),
    buildLine(10_010, 'gateway: Mark of another VM applied.', { decision: 'markApplied', fingerprint: 'f1', crashes: 2 }),
    buildLine(10_010, 'gateway: Mark of another VM applied.', { decision: 'markApplied', fingerprint: 'f2', crashes: 1 })
  ].join('\n')
  const timeline = buildRequestTimeline(log, 'r1')
  t.is(timeline.length, 2)
  t.regex(timeline[1], /fingerprint=f1 crashes=2/)
})
