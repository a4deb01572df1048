import test from 'ava'
import { estimateParsedBytes } from '../index.ts'

test('marks count outside strings only', t => {
  t.is(estimateParsedBytes('[{"a":1},2]'), 11 + 6 * 64)
  t.is(estimateParsedBytes('"[{,:"'), 6)
  t.is(estimateParsedBytes(String.raw`["a\",\\",""]`), 13 + 3 * 64)
  t.is(estimateParsedBytes(''), 0)
})
