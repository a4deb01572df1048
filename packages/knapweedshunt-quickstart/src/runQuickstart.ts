import { applyResources, waitInForce } from 'knapweedshunt-cli'
import { startFakeEngine, startFakeService } from 'knapweedshunt-fakes'
import { buildPrompt, callCompletion } from 'knapweedshunt-load'
import { createRng } from 'knapweedshunt-utils'
import { buildExampleResources, EXAMPLE_ACCESS_KEY, EXAMPLE_MODEL } from './exampleResources.ts'
import { startDeployment } from './startDeployment.ts'
import type { RunningDeployment } from './startDeployment.ts'

const DATA_CENTRE = 'dc-1'
const ENGINES = 3
const REQUESTS = 60
const MAX_TOKENS = 8
const SEED = 1
const WAIT_MS = 30_000
const SHAPE = { manuals: 4, sections: 4, manualWords: 400, sectionWords: 200, caseWords: 40, skew: 1 }

/** Starts everything, sends a small load, prints the result and how to try more, and stays up until `signal` aborts. */
export async function runQuickstart (signal: AbortSignal): Promise<void> {
  const engines = await Promise.all(Array.from({ length: ENGINES }, (_, i) => startFakeEngine({ endpoint: `language-${i + 1}` })))
  const services = [await startFakeService({ endpoint: 'dispatch-1' })]
  const deployment = await startDeployment([{ vm: 'vm-1', dataCentre: DATA_CENTRE }, { vm: 'vm-2', dataCentre: DATA_CENTRE }])
  const address = { url: deployment.vms[0].admin.url, operatorKey: deployment.operatorKey }
  await applyResources(address, buildExampleResources({ engines, services }, DATA_CENTRE))
  await waitInForce(address, null, null, WAIT_MS)
  await sendLoad(deployment, signal)
  printHints(deployment)
  if (!signal.aborted) await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve(), { once: true }))
  await deployment.stop()
  await Promise.all([...engines, ...services].map(fake => fake.stop()))
}

async function sendLoad (deployment: RunningDeployment, signal: AbortSignal): Promise<void> {
  const rng = createRng(SEED)
  const totals = { answered: 0, refused: 0, cut: 0, promptTokens: 0, cachedTokens: 0 }
  for (let i = 0; i < REQUESTS && !signal.aborted; i++) {
    const { text: prompt, marks } = buildPrompt(SHAPE, 'harbour-hotel', rng)
    const { callerUrl: url } = deployment.vms[i % deployment.vms.length].router
    const result = await callCompletion({ url, accessKey: EXAMPLE_ACCESS_KEY, model: EXAMPLE_MODEL, prompt, marks, maxTokens: MAX_TOKENS })
    totals[result.type]++
    if (result.type !== 'answered') continue
    totals.promptTokens += result.promptTokens
    totals.cachedTokens += result.cachedTokens
  }
  console.table([{ ...totals, hitRate: totals.cachedTokens / Math.max(1, totals.promptTokens) }])
}

function printHints (deployment: RunningDeployment): void {
  const { callerUrl } = deployment.vms[0].router
  console.log('Try:')
  console.log(`  curl -N ${callerUrl}/v1/completions -H 'authorization: Bearer ${EXAMPLE_ACCESS_KEY}' -H 'content-type: application/json' -d '{"model":"${EXAMPLE_MODEL}","prompt":"The lift","stream":true,"max_tokens":8}'`)
  console.log(`  KNAPWEEDSHUNT_ADMIN_URL=${deployment.vms[0].admin.url} KNAPWEEDSHUNT_OPERATOR_KEY=${deployment.operatorKey} npx knapweedshuntctl get`)
  console.log('Ctrl-C stops.')
}
