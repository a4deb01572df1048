import { startFakePlatform } from 'knapweedshunt-fakes'
import type { Resource, VmView } from 'knapweedshunt-types'
import { DEFAULT_ROUTER_OPTIONS, startRouter } from '../index.ts'

const LISTEN_ADDRESS = { host: '127.0.0.1', port: 0 }
const REPORT_INTERVAL_MS = 100
const TICK_MS = 5
const BYTES_PER_MB = 1024 * 1024

const resources = JSON.parse(process.argv[2]) as Resource[]
const vms = JSON.parse(process.argv[3]) as VmView[]
const platform = await startFakePlatform(LISTEN_ADDRESS)
const router = await startRouter({ ...DEFAULT_ROUTER_OPTIONS, endpointWindow: 256, caller: LISTEN_ADDRESS, peer: LISTEN_ADDRESS, platformUrl: platform.url, peerKey: 'k' })
router.dataPath.applySnapshot({ resources: { revision: 1, resources: resources.map(resource => ({ ...resource, revision: 1 })) }, vms, endpoints: [] })

const report = { callerUrl: router.callerUrl, mostHeapMb: 0, mostBuffersMb: 0, mostResidentMb: 0, mostHeldUpMs: 0 }
process.send!(report)
let tickedAtMs = performance.now()
setInterval(() => {
  const nowMs = performance.now()
  report.mostHeldUpMs = Math.max(report.mostHeldUpMs, nowMs - tickedAtMs - TICK_MS)
  tickedAtMs = nowMs
}, TICK_MS)
setInterval(() => {
  const { heapUsed, arrayBuffers, rss } = process.memoryUsage()
  report.mostHeapMb = Math.max(report.mostHeapMb, heapUsed / BYTES_PER_MB)
  report.mostBuffersMb = Math.max(report.mostBuffersMb, arrayBuffers / BYTES_PER_MB)
  report.mostResidentMb = Math.max(report.mostResidentMb, rss / BYTES_PER_MB)
  process.send!(report)
}, REPORT_INTERVAL_MS)
process.once('disconnect', () => process.exit())
