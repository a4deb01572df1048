import type { AttemptEvent, StreamVersions } from 'knapweedshunt-attempts'
import type { AttemptId } from 'knapweedshunt-types'
import type { StallLimits } from '../attemptCall.ts'
import type { CallerRequest } from '../callerRequest.ts'
import type { CallerSink } from '../callerSink.ts'
import type { DataPath } from '../dataPath.ts'
import { formatRelayName } from './relayName.ts'
import type { RelayTarget } from './relayTarget.ts'

/** Events after which the other router is not asked again for a while. */
const FAILED_EVENTS: Array<AttemptEvent['type']> = ['refused', 'broken', 'stalled']

/** An attempt to be sent through another router. */
export interface RelayLaunch {
  attempt: AttemptId
  request: CallerRequest
  sink: CallerSink
  target: RelayTarget
  /** Number of the first token to deliver. */
  resumeFrom: number
  /** Versions that the endpoint must have; empty for any. */
  versions: StreamVersions
  /** Headers of the caller that the other router needs. */
  callerHeaders: Record<string, string>
  signal: AbortSignal
  onEvent (event: AttemptEvent): void
}

/** Sends an attempt through another router; resolves when its connection is no longer used. */
export async function launchRelay ({ agent, endpointClient, relays, peerKey, responseMemory, vm: from, stallLimits }: DataPath, { attempt, request, sink, target, resumeFrom, versions, callerHeaders, signal, onEvent }: RelayLaunch): Promise<void> {
  const { vm, url } = target
  const { pool, repeatable } = request
  const share = responseMemory.open()
  relays.recordStart(vm)
  onEvent({ type: 'placed', attempt, endpoint: formatRelayName(vm), incarnation: '' })
  try {
    await endpointClient.relay({
      attempt,
      url,
      request,
      salt: '',
      resumeFrom,
      share,
      key: peerKey,
      relayed: { ...versions, from, pool, repeatable, resumeFrom },
      callerHeaders,
      recordLimit () {},
      recordSignals () {},
      agent,
      signal,
      stallLimits: repeatable ? computeRelayLimits(stallLimits) : null,
      emit: event => {
        const hasNoRoom = event.type === 'broken' && event.reason === 'no-room'
        if (FAILED_EVENTS.includes(event.type) && !hasNoRoom && !signal.aborted) relays.recordFailure(vm, event.type)
        // The other router reports on the endpoint.
        onEvent(event.type === 'broken' && !hasNoRoom ? { ...event, reason: 'relay' } : event)
      },
      waitDrain: () => sink.waitDrain?.(signal) ?? null
    })
  } finally {
    share.release()
    relays.recordEnd(vm)
  }
}

/** The other router has the same limits for each of its own attempts. */
function computeRelayLimits ({ firstTokenMs, betweenTokensMs }: StallLimits): StallLimits {
  return { firstTokenMs: 2 * firstTokenMs, betweenTokensMs: 2 * betweenTokensMs }
}
