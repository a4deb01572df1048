import test from 'ava'
import { once } from 'node:events'
import { applyResources, drainEndpoint, listResources, waitInForce } from 'knapweedshunt-cli'
import { callCompletion } from 'knapweedshunt-load'
import type { CompletionResult } from 'knapweedshunt-load'
import { callJson } from 'knapweedshunt-utils'
import type { JsonAnswer } from 'knapweedshunt-utils'
import { ACCESS_KEY, MODEL } from './hotelResources.ts'
import { runToEnd } from './programs.ts'
import { OPERATOR_KEY, startSystem, waitReady } from './system.ts'
import type { System, VmPrograms } from './system.ts'
import { WAIT_MS, waitUntil } from './waitUntil.ts'

const LONG_TOKENS = 400
const PROMPT = 'rule '.repeat(200)
let system: System

test.before(async () => { system = await startSystem() })
test.after.always(() => system?.stop())

function ask (vm: VmPrograms, maxTokens: number, headers: Record<string, string> = {}, onText?: (n: number) => void, prompt = PROMPT): Promise<CompletionResult> {
  return callCompletion({ url: vm.router.context.callerUrl, accessKey: ACCESS_KEY, model: MODEL, prompt, marks: [500], maxTokens, headers, onText })
}

function order (vm: VmPrograms, key: string): Promise<JsonAnswer> {
  const headers = { authorization: `Bearer ${ACCESS_KEY}`, 'idempotency-key': key }
  return callJson({ method: 'POST', url: `${vm.router.context.callerUrl}/v1/services/dispatch`, body: { order: key }, headers, timeoutMs: WAIT_MS })
}

async function countRuns (key: string): Promise<number> {
  const answer = await callJson({ method: 'GET', url: `${system.service.context.url}/manage/executions`, timeoutMs: WAIT_MS })
  return (answer.body as Record<string, number>)[JSON.stringify({ order: key })] ?? 0
}

/** Completions that each engine began. */
function countStarted (): Promise<number[]> {
  return Promise.all(system.engines.map(async engine => {
    const answer = await callJson({ method: 'GET', url: `${engine.context.url}/manage/counts`, timeoutMs: WAIT_MS })
    return (answer.body as { started: number }).started
  }))
}

async function killBusy (before: number[]): Promise<void> {
  const present = await countStarted()
  const busy = present.findIndex((count, i) => count > before[i])
  system.engines[busy].child.kill('SIGKILL')
}

function textsOf (result: CompletionResult): string[] {
  return result.type === 'refused' ? [] : result.texts
}

test.serial('killed router, stream goes on elsewhere', async t => {
  const [first, second] = system.vms
  const whole = await ask(second, LONG_TOKENS)
  t.is(textsOf(whole).length, LONG_TOKENS)
  const cut = await ask(first, LONG_TOKENS, {}, n => { if (n === 20) first.router.child.kill('SIGKILL') })
  t.is(cut.type, 'cut')
  const had = textsOf(cut)
  t.true(had.length >= 20 && had.length < LONG_TOKENS)
  const rest = await ask(second, LONG_TOKENS, { 'last-event-id': String(had.length - 1) })
  t.is(rest.type, 'answered')
  t.deepEqual([...had, ...textsOf(rest)], textsOf(whole))
  await system.restartRouter(first)
  await waitReady(first)
})

test.serial('restarted router finds warm caches', async t => {
  const [first] = system.vms
  await first.router.end('SIGKILL')
  await system.restartRouter(first)
  await waitReady(first)
  const result = await ask(first, 8)
  t.true(result.type === 'answered' && result.cachedTokens > 150, JSON.stringify(result))
})

test.serial('terminated router finishes its stream', async t => {
  const [first] = system.vms
  const exit = once(first.router.child, 'exit')
  const result = await ask(first, LONG_TOKENS, {}, n => { if (n === 20) first.router.child.kill('SIGTERM') })
  t.is(result.type, 'answered')
  t.is(textsOf(result).length, LONG_TOKENS)
  t.deepEqual(await exit, [0, null])
  await system.restartRouter(first)
  await waitReady(first)
})

test.serial('killed control, router serves on', async t => {
  const [first] = system.vms
  await first.control.end('SIGKILL')
  const result = await ask(first, 8)
  t.is(result.type, 'answered')
  await system.restartControl(first)
})

test.serial('platform down, streams run and orders are truthful', async t => {
  const [, second] = system.vms
  t.is((await order(second, 'before')).status, 200)
  await system.setPlatformFaults({ down: true })
  t.is((await ask(second, 8)).type, 'answered')
  const refused = await order(second, 'during')
  t.is(refused.status, 503)
  t.is((refused.body as { error: { ran: string } }).error.ran, 'may-have-run')
  t.is(await countRuns('during'), 0)
  await system.setPlatformFaults({ down: false })
  await waitUntil(async () => (await order(second, 'during')).status === 200)
  t.is((await order(second, 'before')).status, 200)
  t.is(await countRuns('during'), 1)
  t.is(await countRuns('before'), 1)
})

test.serial('frozen router wakes, order runs once', async t => {
  const [first, second] = system.vms
  first.router.child.kill('SIGSTOP')
  const late = order(first, 'frozen')
  const prompt = await order(second, 'frozen')
  first.router.child.kill('SIGCONT')
  t.is(prompt.status, 200)
  t.deepEqual((await late).body, prompt.body)
  t.is(await countRuns('frozen'), 1)
})

test.serial('operators racing, one is told', async t => {
  const addresses = system.vms.map(vm => ({ url: vm.admin.context.url, operatorKey: OPERATOR_KEY }))
  const [{ resource }] = await listResources(addresses[0], 'Organisation', 'harbour-hotel')
  const results = await Promise.allSettled(addresses.map((address, i) => applyResources(address, [{ kind: 'Organisation', name: 'harbour-hotel', spec: { weight: i + 2 } }], resource.revision)))
  const refused = results.filter(result => result.status === 'rejected')
  t.is(refused.length, 1)
  t.regex(String(refused[0].reason), /revision_raced.*newest revision is 2/)
})

test.serial('drained engine gets nothing new', async t => {
  const [, second] = system.vms
  const address = { url: second.admin.context.url, operatorKey: OPERATOR_KEY }
  await drainEndpoint(address, 'language-1', true)
  await waitInForce(address, 'Endpoint', 'language-1', WAIT_MS)
  const before = await countStarted()
  for (let i = 0; i < 10; i++) t.is((await ask(second, 2, {}, undefined, `case ${i}`)).type, 'answered')
  const after = await countStarted()
  t.deepEqual(after.map((count, i) => count - before[i]), [0, 10])
  await drainEndpoint(address, 'language-1', false)
  await waitInForce(address, 'Endpoint', 'language-1', WAIT_MS)
})

test.serial('killed engine, stream goes on elsewhere', async t => {
  const [, second] = system.vms
  const whole = await ask(second, LONG_TOKENS)
  const before = await countStarted()
  let killed = Promise.resolve()
  const result = await ask(second, LONG_TOKENS, {}, n => { if (n === 20) killed = killBusy(before) })
  await killed
  t.is(result.type, 'answered')
  t.deepEqual(textsOf(result), textsOf(whole))
})

test.serial('wrong settings exit with 2', async t => {
  const result = await runToEnd('router', ['--vm', 'vm-9', '--data-centre', 'dc-1', '--platform-url', 'nowhere', '--peer-key', 'short'])
  t.is(result.code, 2)
  t.regex(result.stderr, /--platform-url/)
  t.regex(result.stderr, /--peer-key/)
  t.notRegex(result.stderr, /short/)
})
