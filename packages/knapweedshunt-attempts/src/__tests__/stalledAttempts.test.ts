import test from 'ava'
import { DEFAULT_ATTEMPT_OPTIONS } from '../attemptOptions.ts'
import { AttemptStateMachine } from '../attemptStateMachine.ts'
import type { AttemptAction } from '../attemptTypes.ts'

const OPTIONS = { ...DEFAULT_ATTEMPT_OPTIONS, requestId: 'r', repeatable: true, resumeFrom: 0, deadlineAtMs: Infinity }

/** Starts a request whose first attempt has delivered one token and stalls. */
function startStalled (takePermit: () => boolean = () => true): { machine: AttemptStateMachine, actions: AttemptAction[] } {
  const machine = new AttemptStateMachine(OPTIONS, takePermit)
  machine.start()
  machine.handleEvent({ type: 'placed', attempt: 'r-1', endpoint: 'e1', incarnation: 'i' })
  machine.handleEvent({ type: 'token', attempt: 'r-1', n: 0, text: 'a' })
  return { machine, actions: machine.handleEvent({ type: 'stalled', attempt: 'r-1', kind: 'between-tokens' }) }
}

function listTypes (actions: AttemptAction[]): string[] {
  return actions.map(({ type }) => type)
}

// Guards against a sound stream that is cancelled for a pause and then fails, as every other endpoint rejects the rest.
test('a stalled attempt goes on if another endpoint rejects the rest', t => {
  const { machine, actions } = startStalled()
  t.deepEqual(actions, [{ type: 'place', attempt: 'r-2', excluded: ['e1'], resumeFrom: 1 }])
  machine.handleEvent({ type: 'placed', attempt: 'r-2', endpoint: 'e2', incarnation: 'i' })
  t.false(listTypes(machine.handleEvent({ type: 'rejected', attempt: 'r-2', status: 503, retryAfterMs: null, message: '' })).includes('fail'))
  t.deepEqual(machine.handleEvent({ type: 'token', attempt: 'r-1', n: 1, text: 'b' }).at(-1), { type: 'deliver', n: 1, text: 'b' })
})

// Guards against a sound stream that fails for a pause, as no retry permit or no other endpoint is left.
test('a stalled attempt goes on without a retry permit or another endpoint', t => {
  const spent = startStalled(() => false)
  t.deepEqual(spent.actions, [])
  t.deepEqual(spent.machine.handleEvent({ type: 'token', attempt: 'r-1', n: 1, text: 'b' }), [{ type: 'deliver', n: 1, text: 'b' }])
  const alone = startStalled()
  t.false(listTypes(alone.machine.handleEvent({ type: 'unplaceable', attempt: 'r-2', reason: 'all-excluded' })).includes('fail'))
  t.deepEqual(alone.machine.handleEvent({ type: 'token', attempt: 'r-1', n: 1, text: 'b' }).at(-1), { type: 'deliver', n: 1, text: 'b' })
})

// Guards against a stalled endpoint that is left at work after another one goes on with the stream.
test('the first of two attempts to go on cancels the other', t => {
  const { machine } = startStalled()
  machine.handleEvent({ type: 'placed', attempt: 'r-2', endpoint: 'e2', incarnation: 'i' })
  t.deepEqual(machine.handleEvent({ type: 'token', attempt: 'r-2', n: 1, text: 'b' }), [{ type: 'cancel', attempt: 'r-1' }, { type: 'deliver', n: 1, text: 'b' }])
})

// Guards against more than two attempts at work when the second one is silent too.
test('a second attempt that stalls is replaced by a third', t => {
  const { machine } = startStalled()
  machine.handleEvent({ type: 'placed', attempt: 'r-2', endpoint: 'e2', incarnation: 'i' })
  t.deepEqual(machine.handleEvent({ type: 'stalled', attempt: 'r-1', kind: 'between-tokens' }), [])
  t.deepEqual(machine.handleEvent({ type: 'stalled', attempt: 'r-2', kind: 'first-token' }), [{ type: 'cancel', attempt: 'r-2' }, { type: 'place', attempt: 'r-3', excluded: ['e1', 'e2'], resumeFrom: 1 }])
})
