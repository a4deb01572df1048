import test from 'ava'
import { StoredPrefixIndex } from '../endpoints/storedPrefixIndex.ts'
import type { StoredPrefixChange, KvStoreChanges } from '../ports/managementPort.ts'

const PARTS = [{ id: 'a', tokens: 800 }, { id: 'b', tokens: 410 }]

function buildChanges (changes: StoredPrefixChange[], more: Partial<KvStoreChanges> = {}): KvStoreChanges {
  return { incarnation: 'i1', position: 10, hasGap: false, changes, ...more }
}

function storeAll (salt: string): StoredPrefixChange[] {
  return [{ salt, part: 'a', tokens: 800 }, { salt, part: 'b', tokens: 400 }]
}

test('a prompt is stored when all parts are, under the same salt', t => {
  const index = new StoredPrefixIndex()
  t.false(index.hasAllParts('s', PARTS))
  index.applyChanges(buildChanges(storeAll('s')))
  t.true(index.hasAllParts('s', PARTS), 'the whole blocks stored may be slightly fewer tokens than the part')
  t.false(index.hasAllParts('other', PARTS))
  t.is(index.position, 10)
})

test('a part evicted in whole or in part is not stored', t => {
  const index = new StoredPrefixIndex()
  index.applyChanges(buildChanges(storeAll('s')))
  index.applyChanges(buildChanges([{ salt: 's', part: 'b', tokens: 128 }]))
  t.false(index.hasAllParts('s', PARTS))
  t.true(index.hasAllParts('s', PARTS.slice(0, 1)))
  index.applyChanges(buildChanges([{ salt: 's', part: 'a', tokens: 0 }]))
  t.false(index.hasAllParts('s', PARTS.slice(0, 1)))
})

test('a restart, a gap or missed changes empties the index', t => {
  for (const invalidate of [
    (index: StoredPrefixIndex) => index.applyChanges(buildChanges([], { incarnation: 'i2' })),
    (index: StoredPrefixIndex) => index.applyChanges(buildChanges([], { hasGap: true })),
    (index: StoredPrefixIndex) => index.clear()
  ]) {
    const index = new StoredPrefixIndex()
    index.applyChanges(buildChanges(storeAll('s')))
    invalidate(index)
    t.false(index.hasAllParts('s', PARTS))
  }
})
