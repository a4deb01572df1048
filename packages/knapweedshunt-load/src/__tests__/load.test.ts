import test from 'ava'
import { buildReport, compareReports, renderReport, LOAD_PRESETS, planCalls, SentPrefixTracker } from '../index.ts'
import type { LoadRecord } from '../index.ts'

const PLAN = { preset: LOAD_PRESETS['steppe-panel'], requestsPerSecond: 200, durationMs: 2_000, seed: 7 }

test('equal seeds plan equal calls', t => {
  t.deepEqual([...planCalls(PLAN)], [...planCalls(PLAN)])
  t.notDeepEqual([...planCalls(PLAN)].length, [...planCalls({ ...PLAN, seed: 8 })].length)
})

test('arrivals match the requested rate, are ordered by time and have unique keys', t => {
  const calls = [...planCalls(PLAN)]
  t.true(Math.abs(calls.length - 400) < 80)
  t.true(calls.every((call, i) => i === 0 || call.atMs >= calls[i - 1].atMs))
  t.is(new Set(calls.map(call => call.key)).size, calls.length)
})

test('marks lie at the ends of the prompt levels', t => {
  for (const { prompt } of planCalls(PLAN)) {
    if (prompt === null) continue
    const words = prompt.marks.map(mark => prompt.text.slice(0, mark).trim().split(' ').length)
    t.deepEqual(words, [prompt.levels[0].wordCount, prompt.levels[0].wordCount + prompt.levels[1].wordCount])
  }
})

test('tracker counts only leading words that were sent before', t => {
  const tracker = new SentPrefixTracker()
  const a = { name: 'a', wordCount: 10 }
  const b = { name: 'b', wordCount: 5 }
  t.is(tracker.recordLevels([a, b]), 0)
  t.is(tracker.recordLevels([a, { name: 'c', wordCount: 5 }]), 10)
  t.is(tracker.recordLevels([{ name: 'd', wordCount: 10 }, b]), 0)
  t.is(tracker.recordLevels([a, b]), 15)
})

test('report totals, refusals and buckets add up, and the page references no external files', t => {
  const answered = { type: 'answered' as const, totalMs: 9, promptTokens: 100, reusableTokens: 90 }
  const records: LoadRecord[] = [
    { organisation: 'x', job: 'j', outcome: { ...answered, firstTokenMs: 3, cachedTokens: 80 } },
    { organisation: 'y', job: 'j', outcome: { ...answered, firstTokenMs: 30, cachedTokens: 90 } },
    { organisation: 'y', job: 'j', outcome: { type: 'refused', code: 'queue_full' } }
  ]
  const report = buildReport(PLAN, records)
  t.is(report.totals.hitRate, 0.85)
  t.is(report.totals.wastedTokens, 10)
  t.is(report.totals.refused, 1)
  t.deepEqual(report.refusals, [{ code: 'queue_full', calls: 1 }])
  t.is(report.groups.flatMap(group => group.buckets).reduce((calls, bucket) => calls + bucket.calls, 0), 2)
  t.is(compareReports(report, report).find(one => one.figure === 'hitRate')?.ratio, 1)
  const page = renderReport(report)
  t.regex(page, /<svg/)
  t.notRegex(page, /(src|href)="http/)
})
