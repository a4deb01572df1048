import test from 'ava'
import { once } from 'node:events'
import { applyResources, drainEndpoint, listResources, waitUntilInForce } from 'knapweedshunt-cli'
import { callCompletion } from 'knapweedshunt-load'
import type { CompletionResult } from 'knapweedshunt-load'
import { requestJson } from 'knapweedshunt-utils'
import type { JsonResponse } from 'knapweedshunt-utils'
import { ACCESS_KEY, MODEL } from './hotelResources.ts'
import { runToExit } from './programs.ts'
import { OPERATOR_KEY, startSystem, waitUntilReady } from './startSystem.ts'
import type { System, VmPrograms } from './startSystem.ts'
import { WAIT_TIMEOUT_MS, waitUntil } from './waitUntil.ts'

const LONG_COMPLETION_TOKENS = 400
const PROMPT = 'rule '.repeat(200)
let system: System

test.before(async () => { system = await startSystem() })
test.after.always(() => system?.stop())

function requestCompletion (vm: VmPrograms, maxTokens: number, headers: Record<string, string> = {}, onText?: (n: number) => void, prompt = PROMPT): Promise<CompletionResult> {
  return callCompletion({ url: vm.router.context.callerUrl, accessKey: ACCESS_KEY, model: MODEL, prompt, marks: [500], maxTokens, headers, onText })
}

function sendOrder (vm: VmPrograms, key: string): Promise<JsonResponse> {
  const headers = { authorization: `Bearer ${ACCESS_KEY}`, 'idempotency-key': key }
  return requestJson({ method: 'POST', url: `${vm.router.context.callerUrl}/v1/services/dispatch`, body: { order: key }, headers, timeoutMs: WAIT_TIMEOUT_MS })
}

async function countExecutions (key: string): Promise<number> {
  const answer = await requestJson({ method: 'GET', url: `${system.service.context.url}/manage/executions`, timeoutMs: WAIT_TIMEOUT_MS })
  return (answer.body as Record<string, number>)[JSON.stringify({ order: key })] ?? 0
}

/** Number of completions that each engine has started. */
function countStartedCompletions (): Promise<number[]> {
  return Promise.all(system.engines.map(async engine => {
    const answer = await requestJson({ method: 'GET', url: `${engine.context.url}/manage/counts`, timeoutMs: WAIT_TIMEOUT_MS })
    return (answer.body as { started: number }).started
  }))
}

async function killBusyEngine (countsBefore: number[]): Promise<void> {
  const current = await countStartedCompletions()
  const busyIndex = current.findIndex((count, i) => count > countsBefore[i])
  system.engines[busyIndex].child.kill('SIGKILL')
}

function getTexts (result: CompletionResult): string[] {
  return result.type === 'refused' ? [] : result.texts
}

test.serial('killed router: the caller resumes its stream at another VM', async t => {
  const [first, second] = system.vms
  const uninterrupted = await requestCompletion(second, LONG_COMPLETION_TOKENS)
  t.is(getTexts(uninterrupted).length, LONG_COMPLETION_TOKENS)
  const interrupted = await requestCompletion(first, LONG_COMPLETION_TOKENS, {}, n => { if (n === 20) first.router.child.kill('SIGKILL') })
  t.is(interrupted.type, 'cut')
  const receivedTexts = getTexts(interrupted)
  t.true(receivedTexts.length >= 20 && receivedTexts.length < LONG_COMPLETION_TOKENS)
  const resumed = await requestCompletion(second, LONG_COMPLETION_TOKENS, { 'last-event-id': String(receivedTexts.length - 1) })
  t.is(resumed.type, 'answered')
  t.deepEqual([...receivedTexts, ...getTexts(resumed)], getTexts(uninterrupted))
  await system.restartRouter(first)
  await waitUntilReady(first)
})

test.serial('restarted router: a known prompt still hits the engine caches', async t => {
  const [first] = system.vms
  await first.router.terminate('SIGKILL')
  await system.restartRouter(first)
  await waitUntilReady(first)
  const result = await requestCompletion(first, 8)
  t.true(result.type === 'answered' && result.cachedTokens > 150, JSON.stringify(result))
})

test.serial('terminated router: its running stream is completed before it exits with 0', async t => {
  const [first] = system.vms
  const exit = once(first.router.child, 'exit')
  const result = await requestCompletion(first, LONG_COMPLETION_TOKENS, {}, n => { if (n === 20) first.router.child.kill('SIGTERM') })
  t.is(result.type, 'answered')
  t.is(getTexts(result).length, LONG_COMPLETION_TOKENS)
  t.deepEqual(await exit, [0, null])
  await system.restartRouter(first)
  await waitUntilReady(first)
})

test.serial('killed control: the router still serves completions', async t => {
  const [first] = system.vms
  await first.control.terminate('SIGKILL')
  const result = await requestCompletion(first, 8)
  t.is(result.type, 'answered')
  await system.restartControl(first)
})

test.serial('platform down: completions are answered, and an order gets 503 may-have-run and is not executed', async t => {
  const [, second] = system.vms
  t.is((await sendOrder(second, 'before')).status, 200)
  await system.setPlatformFaults({ down: true })
  t.is((await requestCompletion(second, 8)).type, 'answered')
  const refused = await sendOrder(second, 'during')
  t.is(refused.status, 503)
  t.is((refused.body as { error: { ran: string } }).error.ran, 'may-have-run')
  t.is(await countExecutions('during'), 0)
  await system.setPlatformFaults({ down: false })
  await waitUntil(async () => (await sendOrder(second, 'during')).status === 200)
  t.is((await sendOrder(second, 'before')).status, 200)
  t.is(await countExecutions('during'), 1)
  t.is(await countExecutions('before'), 1)
})

test.serial('frozen router resumes: an order sent to two VMs runs once', async t => {
  const [first, second] = system.vms
  first.router.child.kill('SIGSTOP')
  const delayedAnswer = sendOrder(first, 'frozen')
  const promptAnswer = await sendOrder(second, 'frozen')
  first.router.child.kill('SIGCONT')
  t.is(promptAnswer.status, 200)
  t.deepEqual((await delayedAnswer).body, promptAnswer.body)
  t.is(await countExecutions('frozen'), 1)
})

test.serial('concurrent edits of one resource: one is refused with revision_raced', async t => {
  const addresses = system.vms.map(vm => ({ url: vm.admin.context.url, operatorKey: OPERATOR_KEY }))
  const [{ resource }] = await listResources(addresses[0], 'Organisation', 'harbour-hotel')
  const results = await Promise.allSettled(addresses.map((address, i) => applyResources(address, [{ kind: 'Organisation', name: 'harbour-hotel', spec: { weight: i + 2 } }], resource.revision)))
  const refused = results.filter(result => result.status === 'rejected')
  t.is(refused.length, 1)
  t.regex(String(refused[0].reason), /revision_raced.*newest revision is 2/)
})

test.serial('drained engine: gets no new requests', async t => {
  const [, second] = system.vms
  const address = { url: second.admin.context.url, operatorKey: OPERATOR_KEY }
  await drainEndpoint(address, 'language-1', true)
  await waitUntilInForce(address, 'Endpoint', 'language-1', WAIT_TIMEOUT_MS)
  const before = await countStartedCompletions()
  for (let i = 0; i < 10; i++) t.is((await requestCompletion(second, 2, {}, undefined, `case ${i}`)).type, 'answered')
  const after = await countStartedCompletions()
  t.deepEqual(after.map((count, i) => count - before[i]), [0, 10])
  await drainEndpoint(address, 'language-1', false)
  await waitUntilInForce(address, 'Endpoint', 'language-1', WAIT_TIMEOUT_MS)
})

test.serial('killed engine: the stream continues on another engine with the same text', async t => {
  const [, second] = system.vms
  const uninterrupted = await requestCompletion(second, LONG_COMPLETION_TOKENS)
  const before = await countStartedCompletions()
  let killed = Promise.resolve()
  const result = await requestCompletion(second, LONG_COMPLETION_TOKENS, {}, n => { if (n === 20) killed = killBusyEngine(before) })
  await killed
  t.is(result.type, 'answered')
  t.deepEqual(getTexts(result), getTexts(uninterrupted))
})

test.serial('invalid settings: the program names the flags, hides secrets and exits with 2', async t => {
  const result = await runToExit('router', ['--vm', 'vm-9', '--data-centre', 'dc-1', '--platform-url', 'nowhere', '--peer-key', 'short'])
  t.is(result.code, 2)
  t.regex(result.stderr, /--platform-url/)
  t.regex(result.stderr, /--peer-key/)
  t.notRegex(result.stderr, /short/)
})
