import test from 'ava'
import { EndpointLifespans } from 'knapweedshunt-attempts'
import { runWithClock } from '../../../knapweedshunt-attempts/src/__tests__/runWithClock.ts'
import { DirectorySurvivals } from '../directory/directorySurvivals.ts'
import type { EndpointEntry } from '../ports/endpointEntry.ts'
import { EndpointRecord } from '../endpoints/endpointRecord.ts'

const INCARNATION = 'e1@1'

/** A VM that lists one endpoint, which is lost at the start of the play. */
class Play {
  readonly lifespans = new EndpointLifespans()
  record: EndpointRecord | null = new EndpointRecord({ incarnation: INCARNATION } as EndpointEntry)
  probeCount = 0
  readonly #crash = { endpoint: INCARNATION, endPeriod: { earliestAtMs: performance.now() - 50, latestAtMs: performance.now() } }
  readonly #survivals = new DirectorySurvivals({ lifespans: this.lifespans, findIncarnation: () => this.record, probe: () => { this.probeCount++ } })

  /** Looks every 250 ms, with a directory confirmed just now; returns whether the endpoint is known to have lived on. */
  look (tick: (ms: number) => void, durationMs: number, isRefused = true): boolean {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 250) {
      tick(250)
      this.#survivals.update([{ crash: this.#crash, isRefused: () => isRefused }], performance.now())
    }
    return this.lifespans.hasLivedThrough(INCARNATION, this.#crash.endPeriod.earliestAtMs, this.#crash.endPeriod.latestAtMs)
  }
}

// Guards against requests that stay refused after a cut that lasts longer than their crashes are looked after.
test.serial('an endpoint that answers long after a crash, and is still listed, has lived on', t => runWithClock(tick => {
  const play = new Play()
  t.false(play.look(tick, 120_000))
  t.is(play.probeCount, 120)
  play.record!.answeredAtMs = performance.now()
  t.false(play.look(tick, 2_250))
  t.true(play.look(tick, 500))
}))

test.serial('an endpoint whose requests are not refused is not probed', t => runWithClock(tick => {
  const play = new Play()
  t.false(play.look(tick, 10_000, false))
  t.is(play.probeCount, 0)
}))

test.serial('an endpoint that is listed with another start after its answer has not lived on', t => runWithClock(tick => {
  const play = new Play()
  tick(500)
  play.record!.answeredAtMs = performance.now()
  t.false(play.look(tick, 1_000))
  play.record = null
  t.false(play.look(tick, 10_000))
}))
