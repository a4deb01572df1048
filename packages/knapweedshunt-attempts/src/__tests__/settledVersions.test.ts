import test from 'ava'
import { PoolVersionHistory } from '../poolVersionHistory.ts'
import { SettledVersions } from '../settledVersions.ts'
import { runWithClock } from './runWithClock.ts'

const SETTLE_MS = 4_000
const RETENTION_MS = 10_000

// Guards against a version that counts as settled before reads have shown it for long enough, or still after it has left.
test.serial('a version is settled once reads of the table have shown it for long enough', t => {
  runWithClock(tick => {
    const settled = new SettledVersions(SETTLE_MS)
    settled.recordPresent('p', ['v1'], 0)
    tick(SETTLE_MS)
    settled.recordPresent('p', ['v1', 'v2'], SETTLE_MS - 1)
    t.deepEqual(settled.listUnsettled('p'), ['v1', 'v2'], 'the last read does not confirm it yet')
    settled.recordPresent('p', ['v1', 'v2'], SETTLE_MS)
    t.deepEqual(settled.listUnsettled('p'), ['v2'])
    settled.recordPresent('p', ['v2'], SETTLE_MS)
    settled.recordPresent('p', ['v1', 'v2'], SETTLE_MS)
    t.false(settled.has('p', 'v1'), 'it has left in between')
  })
})

// Guards against a VM that waits anew for versions which others have observed, or that takes them for settled without a read of its own.
test.serial('a version that others have observed for long enough is settled with the first read that shows it', t => {
  runWithClock(tick => {
    tick(SETTLE_MS)
    const settled = new SettledVersions(SETTLE_MS)
    settled.adopt('p', ['v1'], 0)
    t.false(settled.has('p', 'v1'))
    settled.recordPresent('p', ['v1', 'v2'], SETTLE_MS)
    t.deepEqual(settled.listUnsettled('p'), ['v2'])
    settled.clear()
    t.false(settled.has('p', 'v1'))
  })
})

// Guards against a VM that takes a version for the only one although another came and went while it read nothing.
test.serial('a pool has no only version until it was observed anew after a gap', t => {
  runWithClock(tick => {
    const history = new PoolVersionHistory(() => RETENTION_MS)
    history.recordPresent('p', ['v1'])
    tick(RETENTION_MS)
    t.is(history.findOnlyVersion('p'), 'v1')
    history.recordGap()
    history.recordPresent('p', ['v1'])
    t.is(history.findOnlyVersion('p'), null)
    tick(RETENTION_MS)
    history.recordPresent('p', ['v1'])
    t.is(history.findOnlyVersion('p'), 'v1')
    t.false(history.hasOtherThan('p', 'v1'))
    t.true(history.hasOtherThan('p', 'v2'))
  })
})
