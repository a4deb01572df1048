import { install } from '@sinonjs/fake-timers'
import test from 'ava'
import type { LogFields } from 'knapweedshunt-logger'
import { ROARR } from 'roarr'
import { DecisionLog } from '../records/decisionLog.ts'
import { GatewayMetrics } from '../records/gatewayMetrics.ts'
import { startLogOutputLimiter } from '../records/logOutputLimiter.ts'

function createCollector () {
  const lines: Array<{ message: string, fields: LogFields }> = []
  const write = (message: string, fields: LogFields = {}) => { lines.push({ message, fields }) }
  return { lines, log: { debug: write, info: write, warn: write, error: write } }
}

const ANSWERED = { type: 'answered', requestId: 'r', route: 'x', organisation: 'o', endpoint: 'e', relayVm: '', status: 200, attempts: 1, firstByteMs: 5, longestPauseMs: 0, totalMs: 9, bytes: 1, bodyEnd: 'framed' } as const

test.serial('log lines of a kind are rate limited: failures before routine lines, and the omitted ones are counted', t => {
  const clock = install()
  try {
    const { lines, log } = createCollector()
    const decisions = new DecisionLog(log)
    for (let n = 0; n < 5_000; n++) decisions.record(ANSWERED)
    for (let n = 0; n < 50; n++) decisions.record({ ...ANSWERED, status: 500 })
    t.is(lines.filter(line => line.fields.status === 200).length, 60)
    t.is(lines.filter(line => line.fields.status === 500).length, 50)
    clock.tick(1_000)
    decisions.record(ANSWERED)
    const summary = lines.find(line => line.fields.decision === 'linesLeftOut')
    t.is(summary?.fields.count, 4_940)
  } finally {
    clock.uninstall()
  }
})

test.serial('blocked output drops lines and logs their number', t => {
  const written: string[] = []
  const output = { writableLength: 0, write: (text: string) => written.push(text) }
  const limiter = startLogOutputLimiter(output)
  ROARR.write?.('one')
  output.writableLength = 10 ** 6
  for (let n = 0; n < 100; n++) ROARR.write?.('lost')
  t.is(written.length, 1)
  t.is(limiter.droppedCount, 100)
  output.writableLength = 0
  ROARR.write?.('two')
  t.regex(written[1], /"count":100/)
  t.regex(written[2], /two/)
})

test('metric label values are bounded', async t => {
  const metrics = new GatewayMetrics()
  for (let n = 0; n < 500; n++) metrics.recordResponse({ route: `r${n}`, organisation: 'o', priority: '1' }, 5, 9)
  const text = await metrics.registry.metrics()
  t.is(text.match(/knapweedshunt_total_seconds_count\{/g)?.length, 201)
  t.regex(text, /knapweedshunt_total_seconds_count\{route="other"/)
})
