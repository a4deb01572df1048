import type { ExecutionContext } from 'ava'
import type { AttemptEvent } from 'knapweedshunt-attempts'
import { startFakePlatform, startUnframedServer } from 'knapweedshunt-fakes'
import type { UnframedAnswer, UnframedServer } from 'knapweedshunt-fakes'
import type { ResourceSnapshot } from 'knapweedshunt-types'
import { createHash } from 'node:crypto'
import http from 'node:http'
import type { AttemptCall } from '../attemptCall.ts'
import { DEFAULT_ROUTER_OPTIONS, startRouter } from '../index.ts'
import type { RunningRouter } from '../index.ts'
import { buildAnswerHeader } from '../relays/relayHeaders.ts'
import { runRelay } from '../relays/runRelay.ts'
import type { RelayCall } from '../relays/runRelay.ts'
import { runAttempt } from '../runAttempt.ts'
import { buildRequest, buildShare } from './dataPathHarness.ts'

/** Key with which callers may send requests to the router of {@link startServiceRouter}. */
export const ACCESS_KEY = 'hotel-key'

const LISTEN_ADDRESS = { host: '127.0.0.1', port: 0 }
const SERVICE_WORK = { type: 'service', method: 'POST', path: '/dispatch', contentType: 'text/plain', body: 'b' }

/** Starts a server that ends with the test. */
export async function startServer (t: ExecutionContext, answer: UnframedAnswer): Promise<UnframedServer> {
  const server = await startUnframedServer(answer)
  t.teardown(() => server.stop())
  return server
}

/** Runs an attempt at a server that answers as given; lists its events. */
export async function runCall (t: ExecutionContext, answer: UnframedAnswer, { isService = false, repeatable = true, isRelayed = false }): Promise<AttemptEvent[]> {
  const { url } = await startServer(t, isRelayed ? { ...answer, headers: { ...answer.headers, ...buildAnswerHeader({ type: 'forwarded' }) } } : answer)
  const agent = new http.Agent({ keepAlive: true })
  t.teardown(() => agent.destroy())
  const events: AttemptEvent[] = []
  const request = buildRequest('r', repeatable)
  const call = {
    attempt: 'a',
    url,
    request: isService ? { ...request, work: SERVICE_WORK } : request,
    salt: '',
    resumeFrom: 0,
    share: buildShare(),
    agent,
    signal: new AbortController().signal,
    stallLimits: null,
    recordLimit () {},
    recordSignals () {},
    emit: (event: AttemptEvent) => events.push(event),
    waitDrain: () => null
  }
  if (isRelayed) await runRelay({ ...call, key: 'k', relayed: { from: 'vm-1', pool: 'language', repeatable, resumeFrom: 0, softwareVersion: '', weightsVersion: '' }, callerHeaders: {} } as unknown as RelayCall)
  else await runAttempt(call as unknown as AttemptCall)
  return events
}

/** Starts a router with one endpoint, a service whose requests may be repeated. */
export async function startServiceRouter (t: ExecutionContext, url: string): Promise<RunningRouter> {
  const platform = await startFakePlatform(LISTEN_ADDRESS)
  const router = await startRouter({ ...DEFAULT_ROUTER_OPTIONS, vm: 'vm-1', dataCentre: 'dc-1', drainGraceMs: 0, caller: LISTEN_ADDRESS, peer: LISTEN_ADDRESS, platformUrl: platform.url, peerKey: 'k' })
  t.teardown(async () => {
    await router.stop()
    await platform.stop()
  })
  const resources = [
    { kind: 'Organisation', name: 'hotel', spec: { weight: 1 } },
    { kind: 'AccessKey', name: 'hotel', spec: { organisation: 'hotel', keyHash: createHash('sha256').update(ACCESS_KEY).digest('hex') } },
    { kind: 'PriorityClass', name: 'now', spec: { rank: 0, enginePriority: 0 } },
    { kind: 'EndpointPool', name: 'dispatch', spec: { type: 'service', floor: 0 } },
    { kind: 'Endpoint', name: 'dispatch-1', spec: { pool: 'dispatch', url, dataCentre: 'dc-1', weight: 1, cacheBlocks: 0, checksFencing: false, checksIdempotencyKeys: false, draining: false } },
    { kind: 'Route', name: 'dispatch', spec: { match: { type: 'path', prefix: '/dispatch' }, pool: 'dispatch', repeatable: true, job: 'short', priorityClass: 'now', timeoutMs: 2_000 } }
  ]
  router.dataPath.applySnapshot({ resources: { revision: 1, resources: resources.map(resource => ({ ...resource, revision: 1 })) } as unknown as ResourceSnapshot, vms: [], endpoints: [] })
  return router
}
