import test from 'ava'
import fc from 'fast-check'
import { install } from '@sinonjs/fake-timers'
import { AttemptMachine } from '../attemptMachine.ts'
import { DEFAULT_ATTEMPT_OPTIONS } from '../attemptOptions.ts'
import type { AttemptAction, AttemptEvent } from '../attemptTypes.ts'

const SEED = 20_261_203
const RUNS = 3_000
const TOKENS = 6
const BUDGET = 3
const MAX_ATTEMPTS = 4
const DEADLINE_MS = 5_000

interface Attempt {
  id: string
  state: 'placing' | 'waiting' | 'running' | 'over'
  next: number
}

/** Plays the endpoints and the caller, and knows what is allowed. */
class World {
  readonly attempts = new Map<string, Attempt>()
  readonly texts: string[] = []
  readonly options
  readonly #machine: AttemptMachine
  permits = 0
  placed = 0
  /** Attempts that may have run. */
  ran = 0
  result: 'none' | 'finished' | 'failed' | 'gone' = 'none'

  constructor (create: typeof AttemptMachine, repeatable: boolean, resumeFrom: number) {
    this.options = { ...DEFAULT_ATTEMPT_OPTIONS, requestId: 'r', repeatable, resumeFrom, deadlineAtMs: performance.now() + DEADLINE_MS, maxAttempts: MAX_ATTEMPTS, hedgeAfterMs: 50 }
    this.#machine = new create(this.options, () => this.permits < BUDGET && ++this.permits > 0) // eslint-disable-line new-cap
    this.#perform(this.#machine.start())
  }

  send (event: AttemptEvent): void {
    const wasOver = this.result !== 'none'
    const actions = this.#machine.take(event)
    if (wasOver && actions.length > 0) throw new Error(`${actions[0].type} after the result`)
    this.#perform(actions)
    if (event.type === 'callerGone' && !wasOver) this.result = 'gone'
    if (this.result !== 'none') this.#checkClosed()
    this.#checkLive()
  }

  listIn (...states: Array<Attempt['state']>): Attempt[] {
    return [...this.attempts.values()].filter(one => states.includes(one.state))
  }

  #perform (actions: AttemptAction[]): void {
    for (const action of actions) this.#performOne(action)
  }

  #performOne (action: AttemptAction): void {
    switch (action.type) {
      case 'place': return this.#place(action.attempt, action.resumeFrom)
      case 'wait':
        this.attempts.set(action.attempt, { id: action.attempt, state: 'waiting', next: 0 })
        return
      case 'cancel': return this.#cancel(action.attempt)
      case 'deliver':
        if (this.result !== 'none') throw new Error('a token after the result')
        if (action.n !== this.options.resumeFrom + this.texts.length) throw new Error(`token ${action.n} out of order`)
        if (action.text !== nameToken(action.n)) throw new Error(`token ${action.n} of another answer`)
        this.texts.push(action.text)
        return
      case 'finish':
        if (this.options.resumeFrom + this.texts.length !== TOKENS) throw new Error('finished before the last token')
        return this.#close('finished')
      case 'fail':
        if (action.ran === 'not-run' && this.ran > 0) throw new Error('"not-run" is false')
        return this.#close('failed')
      case 'crashed': case 'hedgeAfter': case 'deliverAnswer':
    }
  }

  #place (id: string, resumeFrom: number): void {
    if (resumeFrom !== this.options.resumeFrom + this.texts.length) throw new Error('resumed at the wrong token')
    if (!this.options.repeatable && this.ran > 0) throw new Error('sent twice')
    this.attempts.set(id, { id, state: 'placing', next: resumeFrom })
  }

  #cancel (id: string): void {
    this.attempts.get(id)!.state = 'over'
  }

  #close (result: World['result']): void {
    if (this.result !== 'none') throw new Error('two results')
    this.result = result
  }

  #checkClosed (): void {
    if (this.listIn('running').length > 0) throw new Error('an attempt was left running')
  }

  #checkLive (): void {
    if (this.placed > MAX_ATTEMPTS) throw new Error('too many attempts')
    if (this.permits > BUDGET) throw new Error('budget exceeded')
    const live = this.listIn('running', 'placing').length
    if (live > 2 || (live > 1 && this.texts.length > 0)) throw new Error(`${live} attempts at once`)
  }
}

function nameToken (n: number): string {
  return `token-${n}`
}

type Step = (world: World, pick: (attempts: Attempt[]) => Attempt | undefined) => void

/** Ends an attempt by an event; `ran` says whether it may have run. */
function end (build: (attempt: string) => AttemptEvent, ran: boolean): Step {
  return (world, pick) => {
    const one = pick(world.listIn('running'))
    if (one === undefined) return
    one.state = 'over'
    if (!ran) world.ran--
    world.send(build(one.id))
  }
}

const STEPS: Record<string, Step> = {
  place: (world, pick) => {
    const one = pick(world.listIn('placing'))
    if (one === undefined) return
    one.state = 'running'
    world.placed++
    world.ran++
    world.send({ type: 'placed', attempt: one.id, endpoint: `e${world.placed}`, incarnation: 'i' })
  },
  token: (world, pick) => {
    const one = pick(world.listIn('running'))
    if (one === undefined || one.next >= TOKENS) return
    world.send({ type: 'token', attempt: one.id, n: one.next, text: nameToken(one.next++) })
  },
  doubled: (world, pick) => {
    const one = pick(world.listIn('running'))
    if (one !== undefined && one.next > 0) world.send({ type: 'token', attempt: one.id, n: one.next - 1, text: nameToken(one.next - 1) })
  },
  skipped: (world, pick) => {
    const one = pick(world.listIn('running'))
    if (one !== undefined) world.send({ type: 'token', attempt: one.id, n: one.next + 1, text: nameToken(one.next + 1) })
  },
  late: (world, pick) => {
    const one = pick(world.listIn('over'))
    const n = world.options.resumeFrom + world.texts.length
    if (one !== undefined) world.send({ type: 'token', attempt: one.id, n, text: 'token of another attempt' })
  },
  crossed: world => world.send({ type: 'token', attempt: 'other-1', n: world.options.resumeFrom + world.texts.length, text: 'token of another request' }),
  whole: (world, pick) => {
    const one = pick(world.listIn('running'))
    if (one === undefined) return
    for (; one.next < TOKENS && one.state === 'running'; one.next++) world.send({ type: 'token', attempt: one.id, n: one.next, text: nameToken(one.next) })
    world.send({ type: 'usage', attempt: one.id, usage: { promptTokens: 1, completionTokens: TOKENS, cachedTokens: 0 } })
    if (one.state !== 'running') return
    one.state = 'over'
    world.send({ type: 'end', attempt: one.id })
  },
  truncated: end(attempt => ({ type: 'end', attempt }), true),
  head: (world, pick) => {
    const one = pick(world.listIn('running'))
    if (one !== undefined) world.send({ type: 'head', attempt: one.id, status: 200, incarnation: 'i', weightsVersion: 'w1' })
  },
  reset: end(attempt => ({ type: 'broken', attempt, reason: 'reset' }), true),
  malformed: end(attempt => ({ type: 'broken', attempt, reason: 'malformed' }), true),
  stalled: (world, pick) => {
    const one = pick(world.listIn('running'))
    if (one !== undefined) world.send({ type: 'stalled', attempt: one.id, kind: 'first-token' })
  },
  refused: end(attempt => ({ type: 'refused', attempt }), false),
  overloaded: end(attempt => ({ type: 'rejected', attempt, status: 503, retryAfterMs: null, message: '' }), false),
  failed: end(attempt => ({ type: 'rejected', attempt, status: 500, retryAfterMs: null, message: '' }), true),
  rejected: end(attempt => ({ type: 'rejected', attempt, status: 422, retryAfterMs: null, message: '' }), false),
  unplaceable: (world, pick) => {
    const one = pick(world.listIn('placing'))
    if (one === undefined) return
    one.state = 'over'
    world.send({ type: 'unplaceable', attempt: one.id, reason: 'all-excluded' })
  },
  waited: (world, pick) => {
    const one = pick(world.listIn('waiting'))
    if (one !== undefined) world.send({ type: 'waited', attempt: one.id })
  },
  hedge: world => world.send({ type: 'hedgeDue' }),
  gone: world => world.send({ type: 'callerGone' }),
  deadline: world => world.send({ type: 'deadline' })
}

const BEFORE_TOKENS = new Set(['refused', 'overloaded', 'failed', 'rejected'])

function runSteps (create: typeof AttemptMachine): void {
  const names = Object.keys(STEPS).filter(name => name !== 'gone' && name !== 'deadline')
  const step = fc.record({ name: fc.oneof({ weight: 8, arbitrary: fc.constantFrom('place', 'token', 'waited') }, { weight: 8, arbitrary: fc.constantFrom(...names) }, { weight: 1, arbitrary: fc.constantFrom('gone', 'deadline') }), n: fc.nat(5) })
  fc.assert(fc.property(fc.boolean(), fc.nat(2), fc.array(step, { maxLength: 60, size: 'max' }), (repeatable, resumeFrom, steps) => {
    const clock = install()
    try {
      const world = new World(create, repeatable, resumeFrom)
      for (const { name, n } of steps) {
        const canReject = BEFORE_TOKENS.has(name)
        STEPS[name](world, all => {
          const open = canReject ? all.filter(one => one.next === world.options.resumeFrom + world.texts.length && world.texts.length === 0) : all
          return open[n % Math.max(1, open.length)]
        })
        clock.tick(n * 10)
      }
      world.send({ type: 'deadline' })
      if (world.result === 'none') throw new Error('no result at the deadline')
    } finally {
      clock.uninstall()
    }
  }), { seed: SEED, numRuns: RUNS })
}

test.serial('streams are whole, in order and sent as often as allowed', t => {
  t.notThrows(() => runSteps(AttemptMachine))
})

/** Takes tokens of superseded attempts as the present one's. */
class CrossingMachine extends AttemptMachine {
  #latest = ''
  override take (event: AttemptEvent): AttemptAction[] {
    if (event.type === 'placed') this.#latest = event.attempt
    return super.take(event.type === 'token' ? { ...event, attempt: this.#latest } : event)
  }
}

test.serial('the fuzz catches crossed answers', t => {
  t.regex(String(t.throws(() => runSteps(CrossingMachine))?.cause), /of another answer/)
})
