import http from 'node:http'
import { startFakeEngine } from 'knapweedshunt-fakes'
import type { EngineOptions, FakeEngine } from 'knapweedshunt-fakes'
import { callCompletion } from 'knapweedshunt-load'
import type { CompletionResult } from 'knapweedshunt-load'
import { DEFAULT_ROUTER_OPTIONS, startRouter } from 'knapweedshunt-router'
import type { RouterOptions, RunningRouter } from 'knapweedshunt-router'
import { ACCESS_KEY, buildEngines, buildHotel, MODEL } from './hotelResources.ts'

const PEER_KEY = 'peer-key-of-the-rig'

/** Routers and engines without control and platform; snapshots are handed over by the test. */
export interface Rig {
  engines: FakeEngine[]
  routers: RunningRouter[]
  /** Hands all routers the present engines, with changes of their state. */
  push (states?: Record<string, 'live' | 'leaving' | 'dead'>): void
  complete (prompt: string, router?: number, call?: { maxTokens?: number, headers?: Record<string, string>, agent?: http.Agent }): Promise<CompletionResult>
  stop (): Promise<void>
}

export interface RigShape {
  engines: number
  routers?: number
  engine?: Partial<EngineOptions>
  router?: Partial<RouterOptions>
  job?: 'short' | 'long'
  timeoutMs?: number
}

export async function startRig (shape: RigShape): Promise<Rig> {
  const engines = await Promise.all(Array.from({ length: shape.engines }, (_, i) => startFakeEngine({ endpoint: `language-${i + 1}`, ...shape.engine })))
  const options = { ...DEFAULT_ROUTER_OPTIONS, platformUrl: 'http://127.0.0.1:9', peerKey: PEER_KEY, drainGraceMs: 50, ...shape.router }
  const routers = await Promise.all(Array.from({ length: shape.routers ?? 1 }, (_, i) => startRouter({ ...options, vm: `vm-${i + 1}` })))

  function push (states: Record<string, 'live' | 'leaving' | 'dead'> = {}) {
    const endpoints = engines.map((engine, i) => ({
      endpoint: `language-${i + 1}`,
      incarnation: engine.state.incarnation,
      state: states[`language-${i + 1}`] ?? 'live',
      weightsVersion: engine.state.weightsVersion,
      load: null,
      loadAgeMs: 0
    }))
    const vms = routers.map((router, i) => ({ vm: `vm-${i + 1}`, incarnation: `i-${i + 1}`, dataCentre: 'dc-1', controlUrl: '', routerUrl: router.peerUrl, state: 'live', appliedRevision: 1 }))
    for (const router of routers) router.dataPath.applySnapshot({ resources: { revision: 1, resources: [...buildHotel(), ...buildEngines(engines.map(engine => engine.url), { route: { job: shape.job ?? 'long', timeoutMs: shape.timeoutMs ?? 20_000 } })] }, vms, endpoints })
  }

  push()
  return {
    engines,
    routers,
    push,
    complete: (prompt, router = 0, call = {}) => callCompletion({ url: routers[router].callerUrl, accessKey: ACCESS_KEY, model: MODEL, prompt, marks: [], maxTokens: 12, ...call }),
    async stop () {
      await Promise.all(routers.map(router => router.stop()))
      for (const engine of engines) engine.crash()
      await Promise.all(engines.map(engine => engine.stop()))
    }
  }
}
