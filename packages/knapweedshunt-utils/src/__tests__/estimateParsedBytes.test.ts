import test from 'ava'
import { estimateParsedBytes } from '../index.ts'

test('marks count outside strings only', t => {
  t.is(estimateParsedBytes('[{"a":1},2]'), 11 + 6 * 64)
  t.is(estimateParsedBytes('"[{,:"'), 6)
  t.is(estimateParsedBytes(String.raw`["a\",\\",""]`), 13 + 3 * 64)
  t.is(estimateParsedBytes(''), 0)
})

test('an escaped quote does not end a string, and a string need not end', t => {
  t.is(estimateParsedBytes(String.raw`["\\\"[,","\\",["\"\"\"{"]]`), 27 + 6 * 64)
  t.is(estimateParsedBytes(String.raw`["[[[\"`), 7 + 64)
  t.is(estimateParsedBytes('"'.repeat(1_000_001)), 1_000_001)
})
