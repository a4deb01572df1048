import test from 'ava'
import { KeptContents } from '../endpoints/keptContents.ts'
import type { KeptChange, KeptNews } from '../ports/managementPort.ts'

const PARTS = [{ id: 'a', tokens: 800 }, { id: 'b', tokens: 410 }]

function build (changes: KeptChange[], more: Partial<KeptNews> = {}): KeptNews {
  return { incarnation: 'i1', position: 10, hasGap: false, changes, ...more }
}

function hold (salt: string): KeptChange[] {
  return [{ salt, part: 'a', tokens: 800 }, { salt, part: 'b', tokens: 400 }]
}

test('held when all parts are, under the same salt', t => {
  const contents = new KeptContents()
  t.false(contents.holds('s', PARTS))
  contents.take(build(hold('s')))
  t.true(contents.holds('s', PARTS), 'whole blocks may be a little less than the part')
  t.false(contents.holds('other', PARTS))
  t.is(contents.position, 10)
})

test('what was dropped, whole or in part, is not held', t => {
  const contents = new KeptContents()
  contents.take(build(hold('s')))
  contents.take(build([{ salt: 's', part: 'b', tokens: 128 }]))
  t.false(contents.holds('s', PARTS))
  t.true(contents.holds('s', PARTS.slice(0, 1)))
  contents.take(build([{ salt: 's', part: 'a', tokens: 0 }]))
  t.false(contents.holds('s', PARTS.slice(0, 1)))
})

test('a restart, a gap or missed news leaves nothing known', t => {
  for (const lose of [
    (contents: KeptContents) => contents.take(build([], { incarnation: 'i2' })),
    (contents: KeptContents) => contents.take(build([], { hasGap: true })),
    (contents: KeptContents) => contents.clear()
  ]) {
    const contents = new KeptContents()
    contents.take(build(hold('s')))
    lose(contents)
    t.false(contents.holds('s', PARTS))
  }
})
