import { EXAMPLE_DEPLOYMENTS } from './exampleDeployment.ts'
import { runExample } from './runExample.ts'
import type { RunningExample } from './runExample.ts'

/** Starts the example deployments, prints their load results and sample commands, and keeps them running until `signal` aborts. */
export async function runQuickstart (root: string, signal: AbortSignal): Promise<void> {
  const examples: RunningExample[] = []
  for (const example of EXAMPLE_DEPLOYMENTS) {
    console.log(`Starting deployment ${example.name} and running a short load.`)
    examples.push(await runExample(example, root, signal))
  }
  console.table(examples.map(describeExample))
  for (const example of examples) printSampleCommands(example)
  console.log('Press Ctrl-C to stop.')
  if (!signal.aborted) await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve(), { once: true }))
  await Promise.all(examples.map(example => example.stop()))
}

function describeExample ({ name, report: { totals, refusals } }: RunningExample): object {
  const { calls, answered, ordered, refused, cut, wastedTokens, firstTokenP50Ms, firstTokenP99Ms } = totals
  return { name, calls, answered, ordered, refused, refusals: refusals.map(refusal => `${refusal.code} ${refusal.calls}`).join(', '), cut, hitRate: totals.hitRate.toFixed(3), wastedTokens, firstTokenP50Ms, firstTokenP99Ms }
}

function printSampleCommands ({ name, deployment }: RunningExample): void {
  const { callerUrl } = deployment.vms[0].router
  const [model, accessKey] = name === 'lindqvist' ? ['route-check', 'example-hotel-1-key'] : ['labour-code', 'example-chain-1-key']
  const body = JSON.stringify({ model, prompt: 'Which lift?', stream: true, max_tokens: 8 })
  console.log(`\n${name}: commands to stream a completion and to list the resources:`)
  console.log(`  curl -N ${callerUrl}/v1/completions -H 'authorization: Bearer ${accessKey}' -H 'content-type: application/json' -d '${body}'`)
  console.log(`  KNAPWEEDSHUNT_ADMIN_URL=${deployment.vms[0].admin.url} KNAPWEEDSHUNT_OPERATOR_KEY=${deployment.operatorKey} npm run -s ctl -- get`)
}
