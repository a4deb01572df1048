import type { DataPathOutcome } from 'knapweedshunt-membership'
import type { LoadReport, ResourceChange, ResourceSnapshot, Revision, VmListEntry } from 'knapweedshunt-types'
import type { ExchangeAnswer, ExchangeRequest, PushRequest } from './controlMessages.ts'

/** Inputs of {@link ControlNode}: timer ticks, results of its actions, messages from peers and the router, and the shutdown. */
export type ControlEvent =
  | { type: 'tick' }
  | { type: 'answered', url: string, answer: ExchangeAnswer }
  | { type: 'unanswered', url: string }
  | { type: 'pushed', push: PushRequest }
  | { type: 'snapshotRead', snapshot: ResourceSnapshot }
  | { type: 'platformRead', read: PlatformRead }
  | { type: 'platformUnanswered' }
  | { type: 'loadRead', load: LoadReport }
  | { type: 'loadUnanswered', endpoint: string, isRefused: boolean }
  | { type: 'routerAcked', revision: Revision }
  | { type: 'observed', endpoint: string, outcome: DataPathOutcome }
  | { type: 'stopped' }

/** Result of one platform poll. Parts that were not requested or have not changed are null. */
export interface PlatformRead {
  revision: Revision
  changes: ResourceChange[] | null
  snapshot: ResourceSnapshot | null
  vmList: VmListEntry[] | null
}

/** Outputs of {@link ControlNode}: I/O to be performed by its caller. */
export type ControlAction =
  | { type: 'exchange', url: string, request: ExchangeRequest }
  | { type: 'push', url: string, push: PushRequest }
  | { type: 'readSnapshot', url: string }
  | { type: 'readPlatform', after: Revision, withList: boolean }
  | { type: 'readLoad', endpoint: string, url: string }
  | { type: 'pushRouter' }
  | { type: 'log', message: string }
