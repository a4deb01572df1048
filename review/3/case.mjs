import { Deployment, HAS_TROUBLE } from '../stand-ins/deployment.mjs'
import { sleep } from '../stand-ins/http.mjs'
import { ModelServer } from '../stand-ins/modelServer.mjs'

const MODEL = 'model-a'
const AWAY_MS = 1_000
const LEASE_MS = 3_000

const deployment = new Deployment()
const { store } = deployment
const state = { version: 1 }

/** Names new weights, and waits until all servers have them and no VM sends orders any more. */
async function rollOut () {
  store.put('op', `version/${MODEL}`, { model: MODEL, version: ++state.version })
  deployment.log(`version ${state.version} is named`)
  const untilMs = performance.now() + 20_000
  while (servers.some(({ version }) => version < state.version) || !isLeaseFree()) {
    if (performance.now() > untilMs) await deployment.finish(2, `version ${state.version} is not in place`)
    await sleep(20)
  }
  deployment.log(`version ${state.version} is in place`)
}

/** Whether the lease is released, by the row of the project itself; only the order of events in this script depends on it. */
function isLeaseFree () {
  return [...store.values('leases').values()].every(row => row.durationMs === 0)
}

await deployment.start({
  routes: [{ name: 'notes', prefix: '/notes/', kind: 'streaming', service: 'lm-pool', sticky: true, gap_aim_ms: 400 }],
  services: [{ name: 'lm-pool', engine: { slots: 64, kv_capacity: 100_000, kv_token_bytes: 327_680, link_mbps: 550_000, models: [{ name: MODEL }] } }]
})
const servers = [new ModelServer(deployment, 'i-1', 'lm-pool', MODEL), new ModelServer(deployment, 'i-2', 'lm-pool', MODEL)]
for (const server of servers) await server.start()
store.put('op', `version/${MODEL}`, { model: MODEL, version: state.version })
for (const name of ['front-1', 'front-2', 'front-3']) await deployment.addVm(name)
await deployment.waitUntilReady()

await rollOut()
await sleep(1_500)
const copy = store.copy()
const copiedAtMs = performance.now()
deployment.log('the store is copied')
await rollOut()
await rollOut()
if (HAS_TROUBLE) {
  store.leave()
  deployment.log('the store is away')
  await sleep(AWAY_MS)
  store.restore(copy)
  deployment.log(`the store is back from a copy of ${Math.round(performance.now() - copiedAtMs)} ms ago`)
}
// Everything has been calm for longer than stable_window_ms when the machines are stopped and started in turn.
await sleep(5_000)
for (const vm of deployment.vms) {
  deployment.signal(vm, 'SIGTERM')
  while (vm.exit === null) await sleep(50)
  deployment.startProcess(vm)
  while (!await deployment.isReady(vm)) await sleep(50)
  deployment.log(`${vm.name} is ready again`)
  await sleep(1_000)
}
await sleep(5_000)
await rollOut()

const broken = servers.flatMap(({ id, orders }) => orders.flatMap((later, i) => orders.slice(0, i).flatMap(earlier => {
  const pair = `${id}: ${earlier.holder} with ${earlier.fence}, then ${later.holder} with ${later.fence}, ${Math.round(later.atMs - earlier.atMs)} ms later`
  if (later.fence < earlier.fence) return [`${pair}: a lower generation number after a higher one`]
  if (later.holder !== earlier.holder && later.fence === earlier.fence) return [`${pair}: two holders with one generation number`]
  return later.holder !== earlier.holder && later.atMs - earlier.atMs < LEASE_MS ? [`${pair}: holders take turns within lease_ms`] : []
})))
for (const line of broken) deployment.log(line)
await deployment.finish(broken.length > 0 ? 1 : 0, `${broken.length} pairs of orders break the rule (ONE)`)
