import { Attempt } from '../endpoints/attempt.ts'
import { buildRelayRequestHeaders } from '../peers/relayHeaders.ts'
import type { PeerView } from '../peers/peerAddress.ts'
import type { RelayedRequest } from '../peers/relayedRequest.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { RequestPlan } from './requestPlan.ts'
import type { RunningAttempt } from './runningAttempt.ts'

/** Parameters of an attempt that is about to be sent to another VM. */
export interface RelayLaunch {
  peer: PeerView
  /** 1 for the first attempt of a request. */
  attemptNumber: number
  /** Id of the last event that the caller has received; null for a stream from its start. */
  lastEventId: string | null
  request: RelayedRequest
}

/** Sends a request, as its caller sent it, to another VM, which authenticates it and sends it to an endpoint. */
export function launchRelay ({ endpointPort, agent, relays }: FlowDependencies, { call, headers, body, deadlineAtMs }: RequestPlan, { peer, attemptNumber, lastEventId, request }: RelayLaunch): RunningAttempt {
  const startedAtMs = performance.now()
  const callerHeaders = endpointPort.buildRelayHeaders(headers, { timeLeftMs: Math.max(1, Math.floor(deadlineAtMs - startedAtMs)), lastEventId })
  const { host } = new URL(peer.address.url)
  const attempt = new Attempt(endpointPort, agent, { method: call.method, target: call.target, address: host, headers: [...callerHeaders, ...buildRelayRequestHeaders(peer.address.key, request)], body, requestId: call.requestId, isRelayed: true })
  relays.recordStart(peer.vm)
  return { attempt, target: { type: 'peer', peer }, softwareVersion: request.softwareVersion, weightsVersion: null, endpoint: '', attemptNumber, countedEndpoints: request.endpointsLeft, startedAtMs, soloPromptTokens: null, attemptId: `${call.requestId}-${attemptNumber}` }
}
