import { EndpointLifespans } from 'knapweedshunt-attempts'
import type { EndpointView } from 'knapweedshunt-types'
import { install } from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { EndpointReports } from '../endpointReports.ts'

function buildView (incarnation: string, loadAgeMs: number): EndpointView {
  return { endpoint: 'e1', incarnation, state: 'live', weightsVersion: 'w1', load: { endpoint: 'e1', incarnation, running: 0, queued: 0, queuedTokens: 0, atMs: 0, weightsVersion: 'w1' }, loadAgeMs } as EndpointView
}

function runWithClock (run: (t: ExecutionContext, clock: Clock) => void): (t: ExecutionContext) => void {
  return t => {
    const clock = install()
    clock.tick(1_000)
    try {
      run(t, clock)
    } finally {
      clock.uninstall()
    }
  }
}

// Guards against an engine that restarts between two reports and is taken for one that lived on.
test.serial('reports of two incarnations show two lifespans', runWithClock((t, clock) => {
  const lifespans = new EndpointLifespans()
  const reports = new EndpointReports(lifespans)
  reports.apply([buildView('i1', 0)])
  clock.tick(500)
  const lostAtMs = performance.now()
  clock.tick(500)
  reports.apply([buildView('i2', 0)])
  clock.tick(500)
  reports.apply([buildView('i2', 0)])
  t.false(lifespans.hasLivedThrough('e1', lostAtMs - 50, lostAtMs))
  t.is(reports.findIncarnation('e1'), 'i2')
}))

// Guards against a report that is passed on late and shows nothing of what came after it.
test.serial('a report shows that the engine lived until it was made', runWithClock((t, clock) => {
  const lifespans = new EndpointLifespans()
  const reports = new EndpointReports(lifespans)
  reports.apply([buildView('i1', 0)])
  clock.tick(500)
  const lostAtMs = performance.now()
  clock.tick(1_000)
  reports.apply([buildView('i1', 1_200)])
  t.false(lifespans.hasLivedThrough('e1', lostAtMs - 50, lostAtMs))
  reports.apply([buildView('i1', 300)])
  t.true(lifespans.hasLivedThrough('e1', lostAtMs - 50, lostAtMs))
}))
