import { applyResources, readResourceFiles, waitInForce } from 'knapweedshunt-cli'
import { buildReport, LOAD_PRESETS, runLoad } from 'knapweedshunt-load'
import type { LoadReport } from 'knapweedshunt-load'
import { callJson, sleep } from 'knapweedshunt-utils'
import type { ExampleDeployment } from './exampleDeployment.ts'
import { startDeployment } from './startDeployment.ts'
import type { RunningDeployment, RunningVm } from './startDeployment.ts'
import { startStandIns } from './startStandIns.ts'

const WAIT_MS = 60_000
const READY_POLL_MS = 100
const LOAD = { requestsPerSecond: 30, durationMs: 4_000, seed: 1 }

/** A running example with the report of its first load. */
export interface RunningExample {
  name: string
  deployment: RunningDeployment
  report: LoadReport
  stop (): Promise<void>
}

/** Starts one deployment with one entry VM per data centre, waits until its resources are in force and sends a small load. */
export async function runExample (example: ExampleDeployment, root: string, signal: AbortSignal): Promise<RunningExample> {
  const standIns = await startStandIns(await readResourceFiles([`${root}/${example.file}`]))
  const dataCentres = [...new Set(standIns.resources.flatMap(resource => resource.kind === 'Endpoint' ? [resource.spec.dataCentre] : []))]
  const deployment = await startDeployment(dataCentres.map(dataCentre => ({ vm: `${dataCentre}-1`, dataCentre })))
  const address = { url: deployment.vms[0].admin.url, operatorKey: deployment.operatorKey }
  await applyResources(address, standIns.resources)
  await waitInForce(address, null, null, WAIT_MS)
  await Promise.all(deployment.vms.map(vm => waitReady(vm, signal)))

  const plan = { ...LOAD, preset: LOAD_PRESETS[example.name] }
  const routerUrls = deployment.vms.map(vm => vm.router.callerUrl)
  const records = await runLoad({ ...plan, routerUrls, orderTimeoutMs: WAIT_MS }, signal)
  async function stop () {
    await deployment.stop()
    await Promise.all(standIns.running.map(standIn => standIn.stop()))
  }
  return { name: example.name, deployment, report: buildReport(plan, records), stop }
}

async function waitReady (vm: RunningVm, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const answer = await callJson({ method: 'GET', url: `${vm.router.callerUrl}/readyz`, timeoutMs: WAIT_MS })
    if (answer.status === 200) return
    await sleep(READY_POLL_MS, signal)
  }
}
