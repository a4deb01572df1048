import { EXAMPLE_DEPLOYMENTS } from './exampleDeployment.ts'
import { runExample } from './runExample.ts'
import type { RunningExample } from './runExample.ts'

/** Starts both example deployments, prints what their loads gave and how to try more, and stays up until `signal` aborts. */
export async function runQuickstart (root: string, signal: AbortSignal): Promise<void> {
  const examples: RunningExample[] = []
  for (const example of EXAMPLE_DEPLOYMENTS) {
    console.log(`Starting ${example.name} and sending a small load.`)
    examples.push(await runExample(example, root, signal))
  }
  console.table(examples.map(describeExample))
  for (const example of examples) printHints(example)
  console.log('Ctrl-C stops.')
  if (!signal.aborted) await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve(), { once: true }))
  await Promise.all(examples.map(example => example.stop()))
}

function describeExample ({ name, report: { totals, refusals } }: RunningExample): object {
  const { calls, answered, ordered, refused, cut, wastedTokens, firstTokenP50Ms, firstTokenP99Ms } = totals
  return { name, calls, answered, ordered, refused, refusals: refusals.map(one => `${one.code} ${one.calls}`).join(', '), cut, hitRate: totals.hitRate.toFixed(3), wastedTokens, firstTokenP50Ms, firstTokenP99Ms }
}

function printHints ({ name, deployment }: RunningExample): void {
  const { callerUrl } = deployment.vms[0].router
  const [model, key] = name === 'lindqvist' ? ['route-check', 'example-hotel-1-key'] : ['labour-code', 'example-chain-1-key']
  const body = JSON.stringify({ model, prompt: 'Which lift?', stream: true, max_tokens: 8 })
  console.log(`\n${name}: a streamed answer, then its resources:`)
  console.log(`  curl -N ${callerUrl}/v1/completions -H 'authorization: Bearer ${key}' -H 'content-type: application/json' -d '${body}'`)
  console.log(`  KNAPWEEDSHUNT_ADMIN_URL=${deployment.vms[0].admin.url} KNAPWEEDSHUNT_OPERATOR_KEY=${deployment.operatorKey} npm run -s ctl -- get`)
}
