import test from 'ava'
import { PoolVersionHistory } from '../poolVersionHistory.ts'
import { selectStreamHolders } from '../selectStreamHolders.ts'
import { computeStreamKey, StreamVersionTable } from '../streamVersionTable.ts'
import { runWithClock } from './runWithClock.ts'

const RETENTION_MS = 10_000

test.serial('the version that began a stream is known until no caller takes it up again', t => {
  runWithClock(tick => {
    const table = new StreamVersionTable(() => RETENTION_MS)
    table.record('k', 'p', 'v1')
    table.record('k', 'p', 'v2')
    tick(RETENTION_MS)
    t.is(table.find('k'), 'v1')
    tick(1)
    t.is(table.find('k'), null)
    t.is(table.size, 0)
  })
})

test('the number of streams is bounded, and the oldest are dropped', t => {
  const table = new StreamVersionTable(() => RETENTION_MS)
  for (let n = 0; n < 30_000; n++) table.record(`k${n}`, 'p', 'v1')
  t.true(table.size <= 20_001)
  t.is(table.find('k0'), null)
  t.is(table.find('k29999'), 'v1')
})

test('streams of different organisations and pools have different keys', t => {
  t.is(new Set([computeStreamKey('a', 'p', 'r'), computeStreamKey('b', 'p', 'r'), computeStreamKey('a', 'q', 'r'), computeStreamKey('ap', '', 'r')]).size, 4)
})

test.serial('a pool has an only version once it was observed for as long as streams may be taken up again', t => {
  runWithClock(tick => {
    const history = new PoolVersionHistory(() => RETENTION_MS)
    history.recordPresent('p', ['v1'])
    t.is(history.findOnlyVersion('p'), null)
    tick(RETENTION_MS)
    t.is(history.findOnlyVersion('p'), 'v1')
    history.recordPresent('p', ['v1', 'v2'])
    t.is(history.findOnlyVersion('p'), null)
    tick(RETENTION_MS)
    history.recordPresent('p', ['v2'])
    t.is(history.findOnlyVersion('p'), null, 'streams of the version that has just left may come back')
    tick(1)
    history.recordPresent('p', ['v2'])
    t.is(history.findOnlyVersion('p'), 'v2')
  })
})

test.serial('an adopted history counts, unless the endpoints have another version now', t => {
  runWithClock(tick => {
    tick(2 * RETENTION_MS)
    const history = new PoolVersionHistory(() => RETENTION_MS)
    history.adopt('p', ['v1'], 0)
    history.recordPresent('p', ['v1'])
    t.is(history.findOnlyVersion('p'), 'v1')
    history.adopt('q', ['v1'], 0)
    history.recordPresent('q', ['v2'])
    t.is(history.findOnlyVersion('q'), null)
    history.adopt('r', ['v1', 'v2'], 0)
    history.recordPresent('r', ['v2'])
    t.is(history.findOnlyVersion('r'), null)
  })
})

test('holders are the same at all VMs, in different data centres, and stay when others leave', t => {
  const vms = Array.from({ length: 9 }, (_, n) => ({ vm: `vm-${n}`, dataCentre: `z${n % 3}` }))
  for (let n = 0; n < 50; n++) {
    const holders = selectStreamHolders(`k${n}`, vms)
    t.deepEqual(selectStreamHolders(`k${n}`, vms.toReversed()), holders)
    t.is(new Set(holders.map(({ dataCentre }) => dataCentre)).size, 3)
    const gone = vms.find(vm => !holders.includes(vm))
    t.deepEqual(selectStreamHolders(`k${n}`, vms.filter(vm => vm !== gone)), holders)
  }
  t.is(selectStreamHolders('k', vms.filter(({ dataCentre }) => dataCentre === 'z0')).length, 3)
  t.is(selectStreamHolders('k', vms.slice(0, 1)).length, 1)
})
