import { createHash } from 'node:crypto'
import { startAdmin } from 'knapweedshunt-admin'
import type { RunningAdmin } from 'knapweedshunt-admin'
import { startControl, DEFAULT_CONTROL_OPTIONS } from 'knapweedshunt-control'
import type { RunningControl } from 'knapweedshunt-control'
import { startFakePlatform } from 'knapweedshunt-fakes'
import type { FakePlatform } from 'knapweedshunt-fakes'
import { DEFAULT_ROUTER_OPTIONS, startRouter } from 'knapweedshunt-router'
import type { RunningRouter } from 'knapweedshunt-router'
import { createIncarnation } from 'knapweedshunt-utils'

const HOST = '127.0.0.1'

/** A running entry VM: router, control and admin as tasks of this process. */
export interface RunningVm {
  vm: string
  dataCentre: string
  router: RunningRouter
  control: RunningControl
  admin: RunningAdmin
  stop (): Promise<void>
}

/** Options for the programs of one VM. */
interface VmOptions {
  vm: string
  dataCentre: string
  /** Data centres with a network latency of about 1 ms. */
  nearDataCentres: string[]
  platformUrl: string
  peerKey: string
}

/** A fake platform and entry VMs in one process. */
export interface RunningDeployment {
  platform: FakePlatform
  vms: RunningVm[]
  operatorKey: string
  peerKey: string
  /** Starts another VM and adds it to the platform's VM list. */
  addVm (vm: string, dataCentre: string): Promise<RunningVm>
  stop (): Promise<void>
}

/** Starts a fake platform and the given entry VMs on free ports of the loopback interface; all their data centres count as near each other. */
export async function startDeployment (vms: Array<{ vm: string, dataCentre: string }>): Promise<RunningDeployment> {
  const platform = await startFakePlatform({ host: HOST, port: 0 })
  const operatorKey = createIncarnation()
  const peerKey = createIncarnation()
  const runningVms: RunningVm[] = []
  const nearDataCentres = [...new Set(vms.map(vm => vm.dataCentre))]

  async function addVm (vm: string, dataCentre: string): Promise<RunningVm> {
    const runningVm = await startVm({ vm, dataCentre, nearDataCentres, platformUrl: platform.url, peerKey }, operatorKey)
    runningVms.push(runningVm)
    platform.memory.vms.push({ vm, dataCentre, controlUrl: runningVm.control.url, routerUrl: runningVm.router.peerUrl, state: 'live' })
    return runningVm
  }

  for (const { vm, dataCentre } of vms) await addVm(vm, dataCentre)
  async function stop () {
    await Promise.all(runningVms.map(vm => vm.stop()))
    await platform.stop()
  }
  return { platform, vms: runningVms, operatorKey, peerKey, addVm, stop }
}

async function startVm (options: VmOptions, operatorKey: string): Promise<RunningVm> {
  const { vm, dataCentre, platformUrl, peerKey } = options
  const listen = { host: HOST, port: 0 }
  const router = await startRouter({ ...DEFAULT_ROUTER_OPTIONS, ...options, caller: listen, peer: listen })
  const control = await startControl({ ...DEFAULT_CONTROL_OPTIONS, vm, dataCentre, listen, routerUrl: router.peerUrl, platformUrl, peerKey })
  const keyHash = createHash('sha256').update(operatorKey).digest('hex')
  const operatorKeys = [{ keyHash, role: { type: 'editor' as const } }]
  const admin = await startAdmin({ listen, platformUrl, controlUrl: control.url, routerUrl: router.peerUrl, peerKey, operatorKeys })
  async function stop () {
    await admin.stop()
    await control.stop()
    await router.stop()
  }
  return { vm, dataCentre, router, control, admin, stop }
}
