import { createHash } from 'node:crypto'
import { applyResources, waitInForce } from 'knapweedshunt-cli'
import { callJson } from 'knapweedshunt-utils'
import { startProgram } from './programs.ts'
import type { RunningProgram } from './programs.ts'

/** Longest wait for a condition, in milliseconds; no test asserts on time taken. */
export const WAIT_MS = 60_000

/** Access key of the one caller. */
export const ACCESS_KEY = 'front-desk-key'

/** Model with a route. */
export const MODEL = 'house-rules'

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
  await applyResources(address, buildResources(engines.map(engine => engine.context.url), service.context.url))
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

/** Waits until the check holds. */
export async function waitUntil (check: () => Promise<boolean>): Promise<void> {
  const endAtMs = performance.now() + WAIT_MS
  while (!await check().catch(() => false)) {
    if (performance.now() > endAtMs) throw new Error('The condition did not come to hold.')
    await new Promise(resolve => setTimeout(resolve, 50))
  }
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

function buildResources (engineUrls: string[], serviceUrl: string): unknown[] {
  const keyHash = createHash('sha256').update(ACCESS_KEY).digest('hex')
  return [
    { kind: 'Organisation', name: 'harbour-hotel', spec: { weight: 1 } },
    { kind: 'AccessKey', name: 'front-desk', spec: { organisation: 'harbour-hotel', keyHash } },
    { kind: 'PriorityClass', name: 'interactive', spec: { rank: 0, enginePriority: 0 } },
    { kind: 'EndpointPool', name: 'language', spec: { type: 'model', model: MODEL, weightsVersion: 'w1', objective: 'tail' } },
    { kind: 'EndpointPool', name: 'dispatch', spec: { type: 'service' } },
    ...engineUrls.map((url, i) => ({ kind: 'Endpoint', name: `language-${i + 1}`, spec: { pool: 'language', url, dataCentre: 'dc-1', cacheBlocks: 4_000 } })),
    { kind: 'Endpoint', name: 'dispatch-1', spec: { pool: 'dispatch', url: serviceUrl, dataCentre: 'dc-1' } },
    { kind: 'Route', name: 'completions', spec: { match: { type: 'model', model: MODEL }, pool: 'language', repeatable: true, priorityClass: 'interactive' } },
    { kind: 'Route', name: 'dispatch', spec: { match: { type: 'path', prefix: '/dispatch' }, pool: 'dispatch', repeatable: false, priorityClass: 'interactive' } }
  ]
}
