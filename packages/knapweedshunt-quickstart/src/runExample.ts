import { applyResources, readResourceFiles, waitUntilInForce } from 'knapweedshunt-cli'
import { buildReport, LOAD_PRESETS, runLoad } from 'knapweedshunt-load'
import type { LoadReport } from 'knapweedshunt-load'
import { requestJson, sleep } from 'knapweedshunt-utils'
import type { ExampleDeployment } from './exampleDeployment.ts'
import { startDeployment } from './startDeployment.ts'
import type { RunningDeployment, RunningVm } from './startDeployment.ts'
import { startFakeEndpoints } from './startFakeEndpoints.ts'

const TIMEOUT_MS = 60_000
const READY_POLL_INTERVAL_MS = 100
const EXAMPLE_LOAD = { requestsPerSecond: 30, durationMs: 4_000, seed: 1 }

/** A running example deployment with the report of its load run. */
export interface RunningExample {
  name: string
  deployment: RunningDeployment
  report: LoadReport
  stop (): Promise<void>
}

/**
 * Starts an example deployment with one entry VM per data centre, waits until its resources are in force and all routers are ready, and runs a short load.
 * `root` is the path of the repository; `signal` ends the wait for readiness and the load.
 */
export async function runExample (example: ExampleDeployment, root: string, signal: AbortSignal): Promise<RunningExample> {
  const fakes = await startFakeEndpoints(await readResourceFiles([`${root}/${example.file}`]))
  const dataCentres = [...new Set(fakes.resources.flatMap(resource => resource.kind === 'Endpoint' ? [resource.spec.dataCentre] : []))]
  const deployment = await startDeployment(dataCentres.map(dataCentre => ({ vm: `${dataCentre}-1`, dataCentre })))
  const address = { url: deployment.vms[0].admin.url, operatorKey: deployment.operatorKey }
  await applyResources(address, fakes.resources)
  await waitUntilInForce(address, null, null, TIMEOUT_MS)
  await Promise.all(deployment.vms.map(vm => waitUntilReady(vm, signal)))

  const plan = { ...EXAMPLE_LOAD, preset: LOAD_PRESETS[example.name] }
  const routerUrls = deployment.vms.map(vm => vm.router.callerUrl)
  const records = await runLoad({ ...plan, routerUrls, orderTimeoutMs: TIMEOUT_MS }, signal)
  async function stop () {
    await deployment.stop()
    await Promise.all(fakes.endpoints.map(fakeEndpoint => fakeEndpoint.stop()))
  }
  return { name: example.name, deployment, report: buildReport(plan, records), stop }
}

async function waitUntilReady (vm: RunningVm, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const answer = await requestJson({ method: 'GET', url: `${vm.router.callerUrl}/readyz`, timeoutMs: TIMEOUT_MS })
    if (answer.status === 200) return
    await sleep(READY_POLL_INTERVAL_MS, signal)
  }
}
