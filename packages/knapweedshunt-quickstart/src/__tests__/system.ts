import { createHash } from 'node:crypto'
import { applyResources, waitInForce } from 'knapweedshunt-cli'
import { callJson } from 'knapweedshunt-utils'
import { buildDispatch, buildEngines, buildHotel } from './hotelResources.ts'
import { startProgram } from './programs.ts'
import type { RunningProgram } from './programs.ts'
import { WAIT_MS, waitUntil } from './waitUntil.ts'

/** Key of an editor. */
export const OPERATOR_KEY = 'an-operators-key'
const PEER_KEY = 'a-key-shared-by-processes'

/** One entry VM as three processes. */
export interface VmPrograms {
  vm: string
  router: RunningProgram
  control: RunningProgram
  admin: RunningProgram
}

/** Everything as separate processes. */
export interface System {
  platform: RunningProgram
  engines: RunningProgram[]
  service: RunningProgram
  vms: VmPrograms[]
  /** Starts the VM's router again on its old ports. */
  restartRouter (vm: VmPrograms): Promise<void>
  /** Starts the VM's control again on its old port. */
  restartControl (vm: VmPrograms): Promise<void>
  setPlatformFaults (faults: object): Promise<void>
  stop (): Promise<void>
}

/** Starts the platform, two engines, a service and two VMs in one data centre, and applies the resources. */
export async function startSystem (): Promise<System> {
  const [platform, service, ...engines] = await Promise.all([
    startProgram('fakes', { role: 'platform' }),
    startProgram('fakes', { role: 'service', endpoint: 'dispatch-1' }),
    startProgram('fakes', { role: 'engine', endpoint: 'language-1' }),
    startProgram('fakes', { role: 'engine', endpoint: 'language-2' })
  ])
  const platformUrl = platform.context.url
  const vms = await Promise.all(['vm-1', 'vm-2'].map(vm => startVm(vm, platformUrl)))
  const list = vms.map(({ vm, router, control }) => ({ vm, dataCentre: 'dc-1', controlUrl: control.context.url, routerUrl: router.context.peerUrl, state: 'live' }))
  await callJson({ method: 'PUT', url: `${platformUrl}/vms`, body: list, timeoutMs: WAIT_MS })
  const address = { url: vms[0].admin.context.url, operatorKey: OPERATOR_KEY }
  await applyResources(address, [...buildHotel(), ...buildEngines(engines.map(engine => engine.context.url)), ...buildDispatch(service.context.url)])
  await waitInForce(address, null, null, WAIT_MS)
  await Promise.all(vms.map(waitReady))

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
      await callJson({ method: 'PUT', url: `${platformUrl}/faults`, body: faults, timeoutMs: WAIT_MS })
    },
    async stop () {
      const programs = [...vms.flatMap(vm => [vm.admin, vm.control, vm.router]), ...engines, service, platform]
      await Promise.all(programs.map(program => program.end('SIGKILL')))
    }
  }
}

/** Waits until the VM's router is ready, as the balancer does. */
export function waitReady (vm: VmPrograms): Promise<void> {
  return waitUntil(async () => (await callJson({ method: 'GET', url: `${vm.router.context.callerUrl}/readyz`, timeoutMs: WAIT_MS })).status === 200)
}

async function startVm (vm: string, platformUrl: string): Promise<VmPrograms> {
  const router = await startRouter(vm, platformUrl, '0', '0')
  const routerUrl = router.context.peerUrl
  const common = { 'platform-url': platformUrl, 'peer-key': PEER_KEY, 'router-url': routerUrl }
  const control = await startControl(vm, platformUrl, routerUrl, '0')
  const hash = createHash('sha256').update(OPERATOR_KEY).digest('hex')
  const admin = await startProgram('admin', { ...common, 'control-url': control.context.url, 'admin-port': '0', 'operator-keys': `${hash}:editor` })
  return { vm, router, control, admin }
}

function startControl (vm: string, platformUrl: string, routerUrl: string, port: string): Promise<RunningProgram> {
  return startProgram('control', { vm, 'data-centre': 'dc-1', 'platform-url': platformUrl, 'peer-key': PEER_KEY, 'router-url': routerUrl, 'control-port': port })
}

function startRouter (vm: string, platformUrl: string, callerPort: string, peerPort: string): Promise<RunningProgram> {
  const flags = { vm, 'data-centre': 'dc-1', 'platform-url': platformUrl, 'peer-key': PEER_KEY, 'caller-port': callerPort, 'peer-port': peerPort }
  return startProgram('router', flags)
}
