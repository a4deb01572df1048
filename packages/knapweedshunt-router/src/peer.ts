import type { RpcClient } from 'knapweedshunt-rpc'
import type { VmView } from 'knapweedshunt-types'
import type { UnacknowledgedMarks } from './unacknowledgedMarks.ts'

/** Another router, and what it has not acknowledged yet. */
export interface Peer {
  view: VmView
  client: RpcClient
  unacknowledgedMarks: UnacknowledgedMarks
  isSending: boolean
  /** Whether the peer lacks the latest evidence of the part detector. */
  needsParts: boolean
  /** Whether the peer lacks the latest report about rate limits of endpoints. */
  needsLimits: boolean
}
