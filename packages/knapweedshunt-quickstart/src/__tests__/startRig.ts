import { createHash } from 'node:crypto'
import http from 'node:http'
import { startFakeEngine } from 'knapweedshunt-fakes'
import type { EngineOptions, FakeEngine } from 'knapweedshunt-fakes'
import { callCompletion } from 'knapweedshunt-load'
import type { CompletionResult } from 'knapweedshunt-load'
import { DEFAULT_ROUTER_OPTIONS, startRouter } from 'knapweedshunt-router'
import type { RouterOptions, RunningRouter } from 'knapweedshunt-router'

import { sleep } from 'knapweedshunt-utils'

export const ACCESS_KEY = 'front-desk-key'
export const MODEL = 'house-rules'
const PEER_KEY = 'peer-key-of-the-rig'

/** Longest wait for a condition, in milliseconds; no test asserts on time taken. */
const WAIT_MS = 60_000
const POLL_MS = 2

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
    for (const router of routers) router.path.takeSnapshot({ resources: { revision: 1, resources: buildResources(engines, shape) }, vms, endpoints })
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

function buildResources (engines: FakeEngine[], { job = 'long', timeoutMs = 20_000 }: RigShape): unknown[] {
  return [
    { kind: 'Organisation', name: 'harbour-hotel', spec: { weight: 1 } },
    { kind: 'AccessKey', name: 'front-desk', spec: { organisation: 'harbour-hotel', keyHash: createHash('sha256').update(ACCESS_KEY).digest('hex') } },
    { kind: 'PriorityClass', name: 'interactive', spec: { rank: 0, enginePriority: 0 } },
    { kind: 'EndpointPool', name: 'language', spec: { type: 'model', model: MODEL, weightsVersion: 'w1', objective: 'tail' } },
    ...engines.map((engine, i) => ({ kind: 'Endpoint', name: `language-${i + 1}`, spec: { pool: 'language', url: engine.url, dataCentre: 'dc-1', cacheBlocks: 4_000 } })),
    { kind: 'Route', name: 'completions', spec: { match: { type: 'model', model: MODEL }, pool: 'language', repeatable: true, job, priorityClass: 'interactive', timeoutMs } }
  ]
}

/** Waits until the condition holds; a condition that never holds fails the test by name. */
export async function waitUntil (isMet: () => boolean): Promise<void> {
  const endAtMs = performance.now() + WAIT_MS
  while (!isMet()) {
    if (performance.now() > endAtMs) throw new Error('The condition did not come to hold.')
    await sleep(POLL_MS)
  }
}
