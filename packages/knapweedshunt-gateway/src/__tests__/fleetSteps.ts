import { install } from '@sinonjs/fake-timers'
import fc from 'fast-check'
import { SimulatedFleet } from './simulatedFleet.ts'

const VMS = 7

/** Time without steps at the end of a history with lifts, in which lost ones are written again: the longest disturbance and what follows it, in seconds. */
const CALM_SECONDS = 18

const vm = fc.nat(VMS - 1)
const durationMs = fc.integer({ min: 100, max: 6_000 })
const sendRequest = fc.record({ type: fc.constant('send' as const), vm, neighbourCount: fc.integer({ min: 0, max: 60 }) })
const sendPart = fc.record({ type: fc.constant('sendPart' as const), vm })
const disturbance = fc.oneof(
  fc.record({ type: fc.constant('harmless' as const), vm, count: fc.integer({ min: 1, max: 60 }) }),
  fc.record({ type: fc.constant('stopStore' as const), durationMs, isSilent: fc.boolean() }),
  fc.record({ type: fc.constant('disconnect' as const), vm, durationMs }),
  fc.record({ type: fc.constant('restart' as const), vm }),
  fc.record({ type: fc.constant('silence' as const) }),
  fc.record({ type: fc.constant('loseAnswers' as const), vm, count: fc.integer({ min: 1, max: 3 }), isLate: fc.boolean() }),
  fc.record({ type: fc.constant('copy' as const) }),
  fc.record({ type: fc.constant('restore' as const), minAgeMs: fc.integer({ min: 0, max: 5_000 }) })
)

const lift = fc.record({ type: fc.constant('lift' as const), loseAnswers: fc.integer({ min: 0, max: 2 }), applyLate: fc.integer({ min: 0, max: 2 }) })

type ValueOf<T> = T extends fc.Arbitrary<infer Value> ? Value : never

/** One step of a history. */
export type Step = ValueOf<typeof sendRequest | typeof sendPart | typeof disturbance | typeof lift>

/** A step with the time until the next one, in milliseconds. */
export type TimedStep = [Step, number]

/** Histories in which the same request crashes endpoints again and again. */
export const requestHistories = buildHistories(sendRequest)

/** Histories in which different requests with the same part crash endpoints. */
export const partHistories = buildHistories(sendPart)

/** The same with operators who lift the quarantine. */
export const liftedRequestHistories = buildHistories(sendRequest, { send: 4, lift: 1 })

/** The same with operators who lift the quarantine. */
export const liftedPartHistories = buildHistories(sendPart, { send: 4, lift: 1 })

function buildHistories (send: fc.Arbitrary<Step>, weights = { send: 8, lift: 0 }): fc.Arbitrary<TimedStep[]> {
  const lifts = weights.lift === 0 ? [] : [{ weight: weights.lift, arbitrary: lift }]
  const step = fc.oneof({ weight: weights.send, arbitrary: send }, { weight: 8, arbitrary: disturbance }, ...lifts)
  return fc.array(fc.tuple(step, fc.integer({ min: 20, max: 1_500 })), { minLength: 5, maxLength: 60, size: 'max' })
}

function applyStep (fleet: SimulatedFleet, step: Step, hasSoundTraffic: boolean): void {
  switch (step.type) {
    case 'send': return fleet.sendCrashingRequest(step.vm, step.neighbourCount)
    case 'sendPart': return fleet.sendCrashingPart(step.vm)
    case 'harmless': return fleet.crashUnderHarmlessRequests(step.vm, step.count)
    case 'stopStore': return fleet.stopStore(step.durationMs, step.isSilent)
    case 'disconnect': return fleet.disconnect(step.vm, step.durationMs)
    case 'restart': return fleet.restart(step.vm)
    case 'silence': return fleet.silenceConnections()
    case 'loseAnswers': return fleet.loseAnswers(step.vm, step.count, step.isLate)
    case 'lift': return fleet.lift(hasSoundTraffic ? 'part' : 'request', step.loseAnswers, step.applyLate)
    case 'copy': return fleet.copyStore()
    case 'restore': return fleet.restoreStore(step.minAgeMs)
  }
}

/** Runs a history under the fake clock; returns the fleet at its end. */
export async function runHistory (steps: TimedStep[], hasSoundTraffic: boolean): Promise<SimulatedFleet> {
  const clock = install()
  const fleet = new SimulatedFleet(VMS)
  try {
    await clock.tickAsync(100)
    if (hasSoundTraffic) fleet.startSoundTraffic()
    for (const [step, ms] of steps) {
      applyStep(fleet, step, hasSoundTraffic)
      await clock.tickAsync(ms)
      fleet.checkLifted()
    }
    const calmSeconds = steps.some(([step]) => step.type === 'lift') ? CALM_SECONDS : 0
    for (let n = 0; n < calmSeconds; n++) {
      await clock.tickAsync(1_000)
      fleet.checkLifted()
    }
    return fleet
  } finally {
    fleet.stop()
    clock.uninstall()
  }
}
