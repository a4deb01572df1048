import test from 'ava'
import { CallerError } from '../callerError.ts'
import { determineOrigin } from '../determineOrigin.ts'
import type { CallerRequest } from '../callerRequest.ts'
import { parseStreamToken, signStreamToken } from '../signStreamToken.ts'
import { RequestTask } from '../requestTask.ts'
import { buildRequest, DataPathHarness, TOKEN_COUNT } from './dataPathHarness.ts'

const KEY = 'k'
const TOKEN = { pool: 'language', softwareVersion: 'v1', weightsVersion: 'w1' }

function buildResumed (streamToken: string | null): CallerRequest {
  return { ...buildRequest('r', true), resumeFrom: 3, streamToken }
}

function startHarness (versions: Record<string, string>): DataPathHarness {
  const harness = new DataPathHarness(true)
  for (const [endpoint, version] of Object.entries(versions)) harness.path.softwareVersions.recordStated(endpoint, 'language', `${endpoint}-1`, version)
  return harness
}

test('a stream token holds for one organisation\'s request and one key', t => {
  const owner = { organisation: 'harbour-hotel', digest: 'd' }
  const token = signStreamToken(TOKEN, owner, KEY)
  t.deepEqual(parseStreamToken(token, owner, KEY), TOKEN)
  t.is(parseStreamToken(token, { ...owner, organisation: 'rival' }, KEY), null)
  t.is(parseStreamToken(token, { ...owner, digest: 'e' }, KEY), null)
  t.is(parseStreamToken(token, owner, 'other key'), null)
  for (const text of ['', '.', 'a.b', `${token}.c`, token.slice(1)]) t.is(parseStreamToken(text, owner, KEY), null)
})

test('the origin of a stream is taken from its token', async t => {
  const harness = startHarness({ e1: 'v1', e2: 'v2' })
  t.teardown(() => harness.path.close())
  const request = buildResumed(null)
  const token = signStreamToken(TOKEN, request, KEY)
  t.deepEqual(await determineOrigin(harness.path, { ...request, streamToken: token }), { softwareVersion: 'v1', weightsVersion: 'w1' })
  t.is(await determineOrigin(harness.path, { ...request, streamToken: token, resumeFrom: 0 }), null)
})

// Guards against a stream that goes on in a pool to which its route leads only since it began.
test('a token of another pool is refused', async t => {
  const harness = startHarness({ e1: 'v1' })
  t.teardown(() => harness.path.close())
  const request = buildResumed(null)
  const token = signStreamToken({ ...TOKEN, pool: 'other' }, request, KEY)
  t.like(await t.throwsAsync(determineOrigin(harness.path, { ...request, streamToken: token }), { instanceOf: CallerError }), { code: 'software_changed', ran: 'not-run' })
})

for (const [name, versions, expected] of [
  ['one version', { e1: 'v1', e2: 'v1' }, 'v1'],
  ['one version, not stated by all', { e1: 'v1', e2: '' }, 'v1'],
  ['none stated', { e1: '' }, ''],
  ['two versions', { e1: 'v1', e2: 'v2' }, null],
  ['nothing heard', {}, null]
] as const) {
  test(`a stream without a token: ${name}`, async t => {
    const harness = startHarness(versions)
    t.teardown(() => harness.path.close())
    for (const token of [null, 'unreadable']) {
      const origin = determineOrigin(harness.path, buildResumed(token))
      if (expected === null) t.like(await t.throwsAsync(origin, { instanceOf: CallerError }), { code: 'software_changed', ran: 'not-run' })
      else t.deepEqual(await origin, { softwareVersion: expected, weightsVersion: '' })
    }
  })
}

// Guards against a stream that is given up because its attempts were spent on endpoints known to have another version.
test('a resumed stream goes to the endpoint of its version at once', async t => {
  for (const target of ['e1', 'e2', 'e3']) {
    const harness = startHarness({ e1: 'v2', e2: 'v2', e3: 'v2', [target]: 'v1' })
    t.teardown(() => harness.path.close())
    await harness.admit()
    const running = new RequestTask(harness.path, { ...harness.request, resumeFrom: 3 }, harness.sink, { softwareVersion: 'v1', weightsVersion: 'w1' }).run(harness.callerAbort.signal)
    t.deepEqual(harness.attempts.map(({ endpoint }) => endpoint), [target])
    harness.latestAttempt?.emitTokensUntil(TOKEN_COUNT, 'w1')
    harness.latestAttempt?.emitUsage()
    harness.latestAttempt?.end({ type: 'end', attempt: harness.latestAttempt.call.attempt })
    await running
    t.is(harness.sink.texts.length, TOKEN_COUNT - 3)
  }
})

test('a resumed stream whose version no endpoint has is refused as not run', async t => {
  const harness = startHarness({ e1: 'v2', e2: 'v2', e3: 'v2' })
  t.teardown(() => harness.path.close())
  await harness.admit()
  await new RequestTask(harness.path, { ...harness.request, resumeFrom: 3 }, harness.sink, { softwareVersion: 'v1', weightsVersion: 'w1' }).run(harness.callerAbort.signal)
  t.like(harness.sink.result, { code: 'software_changed', ran: 'not-run' })
  t.is(harness.attempts.length, 0)
})
