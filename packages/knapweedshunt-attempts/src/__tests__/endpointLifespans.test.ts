import test from 'ava'
import { computeOwnEndPeriod, hasSurvived } from '../endPeriod.ts'
import { EndpointLifespans, MAX_IN_FLIGHT_MS } from '../endpointLifespans.ts'
import { runWithClock } from './runWithClock.ts'

// Guards against a crash that is taken for survived because the endpoint is back under its name.
test.serial('connections of two processes do not join their lifespans', t => runWithClock(tick => {
  const lifespans = new EndpointLifespans()
  const openedAtMs = performance.now()
  tick(1_000)
  lifespans.recordReceived('e@1', openedAtMs)
  const crashedAtMs = performance.now()
  tick(300)
  const reopenedAtMs = performance.now()
  tick(1_000)
  lifespans.recordReceived('e@1', reopenedAtMs)
  t.false(hasSurvived(lifespans, 'e@1', computeOwnEndPeriod(openedAtMs + 10, crashedAtMs)))
}))

// Guards against bytes that arrive after the end of their process.
test.serial('bytes show that the process lived until a while before they arrived', t => runWithClock(tick => {
  const lifespans = new EndpointLifespans()
  const openedAtMs = performance.now()
  tick(1_000)
  const lostAtMs = performance.now()
  tick(MAX_IN_FLIGHT_MS - 10)
  lifespans.recordReceived('e@1', openedAtMs)
  t.false(hasSurvived(lifespans, 'e@1', computeOwnEndPeriod(lostAtMs - 50, lostAtMs)))
  tick(20)
  lifespans.recordReceived('e@1', openedAtMs)
  t.true(hasSurvived(lifespans, 'e@1', computeOwnEndPeriod(lostAtMs - 50, lostAtMs)))
}))

test.serial('connections that overlap show one lifespan', t => runWithClock(tick => {
  const lifespans = new EndpointLifespans()
  const firstAtMs = performance.now()
  tick(600)
  const secondAtMs = performance.now()
  tick(600)
  lifespans.recordReceived('e@1', firstAtMs)
  tick(600)
  lifespans.recordReceived('e@1', secondAtMs)
  t.true(lifespans.hasLivedThrough('e@1', firstAtMs, secondAtMs + 1_000))
  t.false(lifespans.hasLivedThrough('e@2', firstAtMs, secondAtMs))
}))
