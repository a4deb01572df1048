import { createHash } from 'node:crypto'
import { applyResources, waitUntilInForce } from 'knapweedshunt-cli'
import { requestJson } from 'knapweedshunt-utils'
import { buildDispatchResources, buildEnginePoolResources, buildHotelResources } from './hotelResources.ts'
import { startProgram } from './programs.ts'
import type { RunningProgram } from './programs.ts'
import { WAIT_TIMEOUT_MS, waitUntil } from './waitUntil.ts'

/** Operator key with the role `editor`. */
export const OPERATOR_KEY = 'an-operators-key'
const PEER_KEY = 'a-key-shared-by-processes'

/** An entry VM: router, control and admin, each in its own process. */
export interface VmPrograms {
  vm: string
  router: RunningProgram
  control: RunningProgram
  admin: RunningProgram
}

/** A deployment in which every program and every fake runs as its own process. */
export interface System {
  platform: RunningProgram
  engines: RunningProgram[]
  service: RunningProgram
  vms: VmPrograms[]
  /** Starts the VM's router again on its previous ports. */
  restartRouter (vm: VmPrograms): Promise<void>
  /** Starts the VM's control again on its previous port. */
  restartControl (vm: VmPrograms): Promise<void>
  setPlatformFaults (faults: object): Promise<void>
  stop (): Promise<void>
}

/** Starts a fake platform, two engines, a service and two VMs in one data centre, applies the resources and waits until the routers are ready. */
export async function startSystem (): Promise<System> {
  const [platform, service, ...engines] = await Promise.all([
    startProgram('fakes', { role: 'platform' }),
    startProgram('fakes', { role: 'service', endpoint: 'dispatch-1' }),
    startProgram('fakes', { role: 'engine', endpoint: 'language-1' }),
    startProgram('fakes', { role: 'engine', endpoint: 'language-2' })
  ])
  const platformUrl = platform.context.url
  const vms = await Promise.all(['vm-1', 'vm-2'].map(vm => startVm(vm, platformUrl)))
  const vmList = vms.map(({ vm, router, control }) => ({ vm, dataCentre: 'dc-1', controlUrl: control.context.url, routerUrl: router.context.peerUrl, state: 'live' }))
  await requestJson({ method: 'PUT', url: `${platformUrl}/vms`, body: vmList, timeoutMs: WAIT_TIMEOUT_MS })
  const address = { url: vms[0].admin.context.url, operatorKey: OPERATOR_KEY }
  await applyResources(address, [...buildHotelResources(), ...buildEnginePoolResources(engines.map(engine => engine.context.url)), ...buildDispatchResources(service.context.url)])
  await waitUntilInForce(address, null, null, WAIT_TIMEOUT_MS)
  await Promise.all(vms.map(waitUntilReady))

  return {
    platform,
    engines,
    service,
    vms,
    async restartRouter (vm) {
      const { callerUrl, peerUrl } = vm.router.context
      vm.router = await startRouter(vm.vm, platformUrl, new URL(callerUrl).port, new URL(peerUrl).port)
    },
    async restartControl (vm) {
      vm.control = await startControl(vm.vm, platformUrl, vm.router.context.peerUrl, new URL(vm.control.context.url).port)
    },
    async setPlatformFaults (faults) {
      await requestJson({ method: 'PUT', url: `${platformUrl}/faults`, body: faults, timeoutMs: WAIT_TIMEOUT_MS })
    },
    async stop () {
      const programs = [...vms.flatMap(vm => [vm.admin, vm.control, vm.router]), ...engines, service, platform]
      await Promise.all(programs.map(program => program.terminate('SIGKILL')))
    }
  }
}

/** Polls `/readyz` of the VM's router, as a load balancer does, until it answers 200. */
export function waitUntilReady (vm: VmPrograms): Promise<void> {
  return waitUntil(async () => (await requestJson({ method: 'GET', url: `${vm.router.context.callerUrl}/readyz`, timeoutMs: WAIT_TIMEOUT_MS })).status === 200)
}

async function startVm (vm: string, platformUrl: string): Promise<VmPrograms> {
  const router = await startRouter(vm, platformUrl, '0', '0')
  const routerUrl = router.context.peerUrl
  const commonFlags = { 'platform-url': platformUrl, 'peer-key': PEER_KEY, 'router-url': routerUrl }
  const control = await startControl(vm, platformUrl, routerUrl, '0')
  const keyHash = createHash('sha256').update(OPERATOR_KEY).digest('hex')
  const admin = await startProgram('admin', { ...commonFlags, 'control-url': control.context.url, 'admin-port': '0', 'operator-keys': `${keyHash}:editor` })
  return { vm, router, control, admin }
}

function startControl (vm: string, platformUrl: string, routerUrl: string, port: string): Promise<RunningProgram> {
  return startProgram('control', { vm, 'data-centre': 'dc-1', 'platform-url': platformUrl, 'peer-key': PEER_KEY, 'router-url': routerUrl, 'control-port': port })
}

function startRouter (vm: string, platformUrl: string, callerPort: string, peerPort: string): Promise<RunningProgram> {
  const flags = { vm, 'data-centre': 'dc-1', 'platform-url': platformUrl, 'peer-key': PEER_KEY, 'caller-port': callerPort, 'peer-port': peerPort }
  return startProgram('router', flags)
}
