import http from 'node:http'
import { startFakeEngine } from 'knapweedshunt-fakes'
import type { EngineOptions, FakeEngine } from 'knapweedshunt-fakes'
import { callCompletion } from 'knapweedshunt-load'
import type { CompletionCall, CompletionResult } from 'knapweedshunt-load'
import { DEFAULT_ROUTER_OPTIONS, startRouter } from 'knapweedshunt-router'
import type { RouterOptions, RunningRouter } from 'knapweedshunt-router'
import { ACCESS_KEY, buildEnginePoolResources, buildHotelResources, MODEL } from './hotelResources.ts'

/** Nothing listens there. */
const UNREACHABLE_URL = 'http://127.0.0.1:9'

/** Shared key of the routers. */
export const HARNESS_PEER_KEY = 'peer-key-of-the-harness'

/** Routers and fake engines without control and platform; the test applies snapshots to the routers itself. */
export interface RouterHarness {
  engines: FakeEngine[]
  routers: RunningRouter[]
  /** Applies a snapshot of the current engines to all routers; `states` overrides the state `live` by endpoint name. */
  pushSnapshot (states?: Record<string, 'live' | 'leaving' | 'dead'>): void
  /** Applies a snapshot to all routers in which each engine has reported its load just now. */
  pushReports (): void
  /** Applies a snapshot to one router in which no engine can be reached at its address. */
  cutOff (router: number): void
  /** Ends all routers and starts as many new ones, which know nothing of the earlier ones. */
  restartRouters (): Promise<void>
  /** Sends a completion request to the router with this index, the first by default. */
  requestCompletion (prompt: string, router?: number, call?: { maxTokens?: number, headers?: Record<string, string>, agent?: http.Agent, onHead?: CompletionCall['onHead'] }): Promise<CompletionResult>
  stop (): Promise<void>
}

/** Numbers of engines and routers (one router by default), and overrides of their options and of the route. */
export interface RouterHarnessOptions {
  engines: number
  routers?: number
  engine?: Partial<EngineOptions>
  router?: Partial<RouterOptions>
  job?: 'short' | 'long'
  timeoutMs?: number
}

/** Starts fake engines and routers in this process and applies a first snapshot. */
export async function startRouterHarness (options: RouterHarnessOptions): Promise<RouterHarness> {
  const engines = await Promise.all(Array.from({ length: options.engines }, (_, i) => startFakeEngine({ endpoint: `language-${i + 1}`, ...options.engine })))
  const routerOptions = { ...DEFAULT_ROUTER_OPTIONS, platformUrl: UNREACHABLE_URL, peerKey: HARNESS_PEER_KEY, drainGraceMs: 50, ...options.router }
  const startRouters = () => Promise.all(Array.from({ length: options.routers ?? 1 }, (_, i) => startRouter({ ...routerOptions, vm: `vm-${i + 1}` })))
  const routers = await startRouters()

  function applySnapshot (router: RunningRouter, engineUrls: string[], revision: number, states: Record<string, 'live' | 'leaving' | 'dead'>, hasReports = false) {
    const endpoints = engines.map((engine, i) => ({
      endpoint: `language-${i + 1}`,
      incarnation: engine.state.incarnation,
      state: states[`language-${i + 1}`] ?? 'live',
      weightsVersion: engine.state.weightsVersion,
      load: hasReports ? { endpoint: `language-${i + 1}`, incarnation: engine.state.incarnation, running: 0, queued: 0, queuedTokens: 0, atMs: 0, weightsVersion: engine.state.weightsVersion } : null,
      loadAgeMs: 0
    }))
    const vms = routers.map((router, i) => ({ vm: `vm-${i + 1}`, incarnation: `i-${i + 1}`, dataCentre: 'dc-1', controlUrl: '', routerUrl: router.peerUrl, state: 'live', appliedRevision: 1 }))
    router.dataPath.applySnapshot({ resources: { revision, resources: [...buildHotelResources(), ...buildEnginePoolResources(engineUrls, { route: { job: options.job ?? 'long', timeoutMs: options.timeoutMs ?? 20_000 } })] }, vms, endpoints })
  }

  function pushSnapshot (states: Record<string, 'live' | 'leaving' | 'dead'> = {}) {
    for (const router of routers) applySnapshot(router, engines.map(engine => engine.url), 1, states)
  }

  pushSnapshot()
  return {
    engines,
    routers,
    pushSnapshot,
    pushReports () {
      for (const router of routers) applySnapshot(router, engines.map(engine => engine.url), 1, {}, true)
    },
    cutOff: router => applySnapshot(routers[router], engines.map(() => UNREACHABLE_URL), 2, {}),
    async restartRouters () {
      await Promise.all(routers.map(router => router.stop()))
      routers.splice(0, routers.length, ...await startRouters())
      pushSnapshot()
    },
    requestCompletion: (prompt, router = 0, call = {}) => callCompletion({ url: routers[router].callerUrl, accessKey: ACCESS_KEY, model: MODEL, prompt, marks: [], maxTokens: 12, ...call }),
    async stop () {
      await Promise.all(routers.map(router => router.stop()))
      for (const engine of engines) engine.crash()
      await Promise.all(engines.map(engine => engine.stop()))
    }
  }
}
