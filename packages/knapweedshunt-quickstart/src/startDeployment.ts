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

/** One entry VM: its three programs as tasks. */
export interface RunningVm {
  vm: string
  dataCentre: string
  router: RunningRouter
  control: RunningControl
  admin: RunningAdmin
  stop (): Promise<void>
}

/** What the programs of one VM share. */
interface VmIdentity {
  vm: string
  dataCentre: string
  /** Data centres about a millisecond away. */
  nearDataCentres: string[]
  platformUrl: string
  peerKey: string
}

/** A platform stand-in and entry VMs in one process. */
export interface RunningDeployment {
  platform: FakePlatform
  vms: RunningVm[]
  operatorKey: string
  peerKey: string
  /** Starts one more VM and lists it with the platform. */
  addVm (vm: string, dataCentre: string): Promise<RunningVm>
  stop (): Promise<void>
}

/** Starts VMs, given as data centre by name, on loopback. */
export async function startDeployment (vms: Array<{ vm: string, dataCentre: string }>): Promise<RunningDeployment> {
  const platform = await startFakePlatform({ host: HOST, port: 0 })
  const operatorKey = createIncarnation()
  const peerKey = createIncarnation()
  const running: RunningVm[] = []
  const nearDataCentres = [...new Set(vms.map(one => one.dataCentre))]

  async function addVm (vm: string, dataCentre: string): Promise<RunningVm> {
    const started = await startVm({ vm, dataCentre, nearDataCentres, platformUrl: platform.url, peerKey }, operatorKey)
    running.push(started)
    platform.memory.vms.push({ vm, dataCentre, controlUrl: started.control.url, routerUrl: started.router.peerUrl, state: 'live' })
    return started
  }

  for (const { vm, dataCentre } of vms) await addVm(vm, dataCentre)
  async function stop () {
    await Promise.all(running.map(vm => vm.stop()))
    await platform.stop()
  }
  return { platform, vms: running, operatorKey, peerKey, addVm, stop }
}

async function startVm (identity: VmIdentity, operatorKey: string): Promise<RunningVm> {
  const { vm, dataCentre, platformUrl, peerKey } = identity
  const listen = { host: HOST, port: 0 }
  const router = await startRouter({ ...DEFAULT_ROUTER_OPTIONS, ...identity, caller: listen, peer: listen })
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
