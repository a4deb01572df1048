import test from 'ava'
import fc from 'fast-check'
import { install } from '@sinonjs/fake-timers'
import { AttemptStateMachine } from '../attemptStateMachine.ts'
import { DEFAULT_ATTEMPT_OPTIONS } from '../attemptOptions.ts'
import type { AttemptAction, AttemptEvent } from '../attemptTypes.ts'

const SEED = 20_261_203
const RUNS = 3_000
const TOKENS = 6
const MAX_PERMITS = 3
const MAX_ATTEMPTS = 4
const DEADLINE_MS = 5_000

interface Attempt {
  id: string
  state: 'placing' | 'waiting' | 'running' | 'over'
  next: number
  /** Whether it was silent for too long since its last token. */
  isStalled: boolean
}

/** Simulates the endpoints and the caller, and checks each action against what is allowed. */
class Simulation {
  readonly attempts = new Map<string, Attempt>()
  readonly deliveredTexts: string[] = []
  readonly options
  readonly #machine: AttemptStateMachine
  takenPermits = 0
  placedCount = 0
  /** Number of attempts that may have run. */
  mayHaveRunCount = 0
  result: 'none' | 'finished' | 'failed' | 'gone' = 'none'

  constructor (create: typeof AttemptStateMachine, repeatable: boolean, resumeFrom: number) {
    this.options = { ...DEFAULT_ATTEMPT_OPTIONS, requestId: 'r', repeatable, resumeFrom, deadlineAtMs: performance.now() + DEADLINE_MS, maxAttempts: MAX_ATTEMPTS, hedgeAfterMs: 50 }
    this.#machine = new create(this.options, () => this.takenPermits < MAX_PERMITS && ++this.takenPermits > 0) // eslint-disable-line new-cap
    this.#perform(this.#machine.start())
  }

  send (event: AttemptEvent): void {
    const wasOver = this.result !== 'none'
    const actions = this.#machine.handleEvent(event)
    if (wasOver && actions.length > 0) throw new Error(`action ${actions[0].type} after the result`)
    this.#perform(actions)
    if (event.type === 'callerGone' && !wasOver) this.result = 'gone'
    if (this.result !== 'none') this.#checkNoneRunning()
    this.#checkLimits()
  }

  listIn (...states: Array<Attempt['state']>): Attempt[] {
    return [...this.attempts.values()].filter(one => states.includes(one.state))
  }

  #perform (actions: AttemptAction[]): void {
    for (const action of actions) this.#performOne(action)
  }

  #performOne (action: AttemptAction): void {
    switch (action.type) {
      case 'place': return this.#handlePlace(action.attempt, action.resumeFrom)
      case 'wait':
        this.attempts.set(action.attempt, { id: action.attempt, state: 'waiting', next: 0, isStalled: false })
        return
      case 'cancel': return this.#handleCancel(action.attempt)
      case 'deliver':
        if (this.result !== 'none') throw new Error('token delivered after the result')
        if (action.n !== this.options.resumeFrom + this.deliveredTexts.length) throw new Error(`token ${action.n} delivered out of order`)
        if (action.text !== nameToken(action.n)) throw new Error(`token ${action.n} comes from another answer`)
        this.deliveredTexts.push(action.text)
        return
      case 'finish':
        if (this.options.resumeFrom + this.deliveredTexts.length !== TOKENS) throw new Error('finished before the last token')
        return this.#recordResult('finished')
      case 'fail':
        if (action.ran === 'not-run' && this.mayHaveRunCount > 0) throw new Error('reported not-run although an attempt may have run')
        return this.#recordResult('failed')
      case 'crashed': case 'hedgeAfter': case 'deliverAnswer':
    }
  }

  #handlePlace (id: string, resumeFrom: number): void {
    if (resumeFrom !== this.options.resumeFrom + this.deliveredTexts.length) throw new Error('resumed at the wrong token')
    if (!this.options.repeatable && this.mayHaveRunCount > 0) throw new Error('request that is not repeatable was sent twice')
    this.attempts.set(id, { id, state: 'placing', next: resumeFrom, isStalled: false })
  }

  #handleCancel (id: string): void {
    this.attempts.get(id)!.state = 'over'
  }

  #recordResult (result: Simulation['result']): void {
    if (this.result !== 'none') throw new Error('request ended twice')
    this.result = result
  }

  #checkNoneRunning (): void {
    if (this.listIn('running').length > 0) throw new Error('an attempt is still running after the result')
  }

  #checkLimits (): void {
    if (this.placedCount > MAX_ATTEMPTS) throw new Error('too many attempts')
    if (this.takenPermits > MAX_PERMITS) throw new Error('retry budget exceeded')
    const live = this.listIn('running', 'placing')
    // After the first token a second attempt is allowed only beside one that is silent.
    const active = live.filter(({ isStalled }) => !isStalled).length
    if (live.length > 2 || (active > 1 && this.deliveredTexts.length > 0)) throw new Error(`${live.length} concurrent attempts`)
  }
}

function nameToken (n: number): string {
  return `token-${n}`
}

type Step = (simulation: Simulation, pick: (attempts: Attempt[]) => Attempt | undefined) => void

/** Ends an attempt with an event; `mayHaveRun` tells whether the endpoint may have run it. */
function endAttempt (buildEvent: (attempt: string) => AttemptEvent, mayHaveRun: boolean): Step {
  return (simulation, pick) => {
    const one = pick(simulation.listIn('running'))
    if (one === undefined) return
    one.state = 'over'
    if (!mayHaveRun) simulation.mayHaveRunCount--
    simulation.send(buildEvent(one.id))
  }
}

const STEPS: Record<string, Step> = {
  place: (simulation, pick) => {
    const one = pick(simulation.listIn('placing'))
    if (one === undefined) return
    one.state = 'running'
    simulation.placedCount++
    simulation.mayHaveRunCount++
    simulation.send({ type: 'placed', attempt: one.id, endpoint: `e${simulation.placedCount}`, incarnation: 'i' })
  },
  token: (simulation, pick) => {
    const one = pick(simulation.listIn('running'))
    if (one === undefined || one.next >= TOKENS) return
    one.isStalled = false
    simulation.send({ type: 'token', attempt: one.id, n: one.next, text: nameToken(one.next++) })
  },
  doubled: (simulation, pick) => {
    const one = pick(simulation.listIn('running'))
    if (one !== undefined && one.next > 0) simulation.send({ type: 'token', attempt: one.id, n: one.next - 1, text: nameToken(one.next - 1) })
  },
  skipped: (simulation, pick) => {
    const one = pick(simulation.listIn('running'))
    if (one !== undefined) simulation.send({ type: 'token', attempt: one.id, n: one.next + 1, text: nameToken(one.next + 1) })
  },
  late: (simulation, pick) => {
    const one = pick(simulation.listIn('over'))
    const n = simulation.options.resumeFrom + simulation.deliveredTexts.length
    if (one !== undefined) simulation.send({ type: 'token', attempt: one.id, n, text: 'token of another attempt' })
  },
  crossed: simulation => simulation.send({ type: 'token', attempt: 'other-1', n: simulation.options.resumeFrom + simulation.deliveredTexts.length, text: 'token of another request' }),
  whole: (simulation, pick) => {
    const one = pick(simulation.listIn('running'))
    if (one === undefined) return
    for (; one.next < TOKENS && one.state === 'running'; one.next++) simulation.send({ type: 'token', attempt: one.id, n: one.next, text: nameToken(one.next) })
    simulation.send({ type: 'usage', attempt: one.id, usage: { promptTokens: 1, completionTokens: TOKENS, cachedTokens: 0 } })
    if (one.state !== 'running') return
    one.state = 'over'
    simulation.send({ type: 'end', attempt: one.id })
  },
  truncated: endAttempt(attempt => ({ type: 'end', attempt }), true),
  head: (simulation, pick) => {
    const one = pick(simulation.listIn('running'))
    if (one !== undefined) simulation.send({ type: 'head', attempt: one.id, status: 200, incarnation: 'i', weightsVersion: 'w1', softwareVersion: '' })
  },
  reset: endAttempt(attempt => ({ type: 'broken', attempt, reason: 'reset' }), true),
  malformed: endAttempt(attempt => ({ type: 'broken', attempt, reason: 'malformed' }), true),
  stalled: (simulation, pick) => {
    const one = pick(simulation.listIn('running'))
    if (one === undefined) return
    one.isStalled = true
    simulation.send({ type: 'stalled', attempt: one.id, kind: 'first-token' })
  },
  refused: endAttempt(attempt => ({ type: 'refused', attempt }), false),
  overloaded: endAttempt(attempt => ({ type: 'rejected', attempt, status: 503, retryAfterMs: null, message: '' }), false),
  failed: endAttempt(attempt => ({ type: 'rejected', attempt, status: 500, retryAfterMs: null, message: '' }), true),
  rejected: endAttempt(attempt => ({ type: 'rejected', attempt, status: 422, retryAfterMs: null, message: '' }), false),
  unplaceable: (simulation, pick) => {
    const one = pick(simulation.listIn('placing'))
    if (one === undefined) return
    one.state = 'over'
    simulation.send({ type: 'unplaceable', attempt: one.id, reason: 'all-excluded' })
  },
  limited: (simulation, pick) => {
    const one = pick(simulation.listIn('placing'))
    if (one === undefined) return
    one.state = 'over'
    simulation.send({ type: 'limited', attempt: one.id, retryAfterMs: one.id.length % 2 === 0 ? 5 : null })
  },
  waited: (simulation, pick) => {
    const one = pick(simulation.listIn('waiting'))
    if (one !== undefined) simulation.send({ type: 'waited', attempt: one.id })
  },
  hedge: simulation => simulation.send({ type: 'hedgeDue' }),
  gone: simulation => simulation.send({ type: 'callerGone' }),
  deadline: simulation => simulation.send({ type: 'deadline' })
}

const BEFORE_FIRST_TOKEN = new Set(['refused', 'overloaded', 'failed', 'rejected'])

function runSteps (create: typeof AttemptStateMachine): void {
  const names = Object.keys(STEPS).filter(name => name !== 'gone' && name !== 'deadline')
  const step = fc.record({ name: fc.oneof({ weight: 8, arbitrary: fc.constantFrom('place', 'token', 'waited') }, { weight: 8, arbitrary: fc.constantFrom(...names) }, { weight: 1, arbitrary: fc.constantFrom('gone', 'deadline') }), n: fc.nat(5) })
  fc.assert(fc.property(fc.boolean(), fc.nat(2), fc.array(step, { maxLength: 60, size: 'max' }), (repeatable, resumeFrom, steps) => {
    const clock = install()
    try {
      const simulation = new Simulation(create, repeatable, resumeFrom)
      for (const { name, n } of steps) {
        const canReject = BEFORE_FIRST_TOKEN.has(name)
        STEPS[name](simulation, all => {
          const eligible = canReject ? all.filter(one => one.next === simulation.options.resumeFrom + simulation.deliveredTexts.length && simulation.deliveredTexts.length === 0) : all
          return eligible[n % Math.max(1, eligible.length)]
        })
        clock.tick(n * 10)
      }
      simulation.send({ type: 'deadline' })
      if (simulation.result === 'none') throw new Error('no result at the deadline')
    } finally {
      clock.uninstall()
    }
  }), { seed: SEED, numRuns: RUNS })
}

test.serial('streams are complete and in order, and requests are sent no more often than allowed', t => {
  t.notThrows(() => runSteps(AttemptStateMachine))
})

/** Assigns the tokens of earlier attempts to the latest one. */
class CrossingMachine extends AttemptStateMachine {
  #latest = ''
  override handleEvent (event: AttemptEvent): AttemptAction[] {
    if (event.type === 'placed') this.#latest = event.attempt
    return super.handleEvent(event.type === 'token' ? { ...event, attempt: this.#latest } : event)
  }
}

test.serial('the fuzz test detects tokens taken from another answer', t => {
  t.regex(String(t.throws(() => runSteps(CrossingMachine))?.cause), /comes from another answer/)
})
