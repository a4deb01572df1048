import { install } from '@sinonjs/fake-timers'
import fc from 'fast-check'
import { SimulatedFleet } from './simulatedFleet.ts'

const VMS = 7

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

type ValueOf<T> = T extends fc.Arbitrary<infer Value> ? Value : never

/** One step of a history. */
export type Step = ValueOf<typeof sendRequest | typeof sendPart | typeof disturbance>

/** A step with the time until the next one, in milliseconds. */
export type TimedStep = [Step, number]

/** Histories in which the same request crashes endpoints again and again. */
export const requestHistories = buildHistories(sendRequest)

/** Histories in which different requests with the same part crash endpoints. */
export const partHistories = buildHistories(sendPart)

function buildHistories (send: fc.Arbitrary<Step>): fc.Arbitrary<TimedStep[]> {
  const step = fc.oneof({ weight: 8, arbitrary: send }, { weight: 8, arbitrary: disturbance })
  return fc.array(fc.tuple(step, fc.integer({ min: 20, max: 1_500 })), { minLength: 5, maxLength: 60, size: 'max' })
}

function applyStep (fleet: SimulatedFleet, step: Step): void {
  switch (step.type) {
    case 'send': return fleet.sendCrashingRequest(step.vm, step.neighbourCount)
    case 'sendPart': return fleet.sendCrashingPart(step.vm)
    case 'harmless': return fleet.crashUnderHarmlessRequests(step.vm, step.count)
    case 'stopStore': return fleet.stopStore(step.durationMs, step.isSilent)
    case 'disconnect': return fleet.disconnect(step.vm, step.durationMs)
    case 'restart': return fleet.restart(step.vm)
    case 'silence': return fleet.silenceConnections()
    case 'loseAnswers': return fleet.loseAnswers(step.vm, step.count, step.isLate)
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
      applyStep(fleet, step)
      await clock.tickAsync(ms)
    }
    return fleet
  } finally {
    fleet.stop()
    clock.uninstall()
  }
}
