import type { DataPathOutcome } from 'knapweedshunt-membership'
import type { LoadReport, ResourceChange, ResourceSnapshot, Revision, VmListEntry } from 'knapweedshunt-types'
import type { ExchangeAnswer, ExchangeRequest, PushRequest } from './controlMessages.ts'

/** What happens to a node. */
export type ControlEvent =
  | { type: 'tick' }
  | { type: 'answered', url: string, answer: ExchangeAnswer }
  | { type: 'unanswered', url: string }
  | { type: 'pushed', push: PushRequest }
  | { type: 'snapshotRead', snapshot: ResourceSnapshot }
  | { type: 'platformRead', read: PlatformRead }
  | { type: 'platformSilent' }
  | { type: 'loadRead', load: LoadReport }
  | { type: 'loadSilent', endpoint: string, isRefused: boolean }
  | { type: 'routerAcked', revision: Revision }
  | { type: 'observed', endpoint: string, outcome: DataPathOutcome }
  | { type: 'stopped' }

/** What the platform answered; parts that were not asked for or not new are null. */
export interface PlatformRead {
  revision: Revision
  changes: ResourceChange[] | null
  snapshot: ResourceSnapshot | null
  list: VmListEntry[] | null
}

/** What a node wants done. */
export type ControlAction =
  | { type: 'exchange', url: string, request: ExchangeRequest }
  | { type: 'push', url: string, push: PushRequest }
  | { type: 'readSnapshot', url: string }
  | { type: 'readPlatform', after: Revision, withList: boolean }
  | { type: 'readLoad', endpoint: string, url: string }
  | { type: 'pushRouter' }
  | { type: 'log', message: string }
