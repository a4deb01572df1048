import type { RefusalReason } from '../records/decision.ts'
import type { RelayAnswer } from './relayAnswer.ts'

/** Reasons that hold for one VM, not for its requests. */
const LOCAL_REASONS: RefusalReason[] = ['no_config', 'config_behind', 'keys_unconfirmed', 'no_free_endpoint', 'endpoints_unreached', 'relay_full', 'relay_key', 'stopping']

/** Builds the answer to a VM whose request this one refuses. */
export function buildRefusal (reason: RefusalReason, mayHaveRun: boolean, retryAfterMs: number | null): RelayAnswer {
  return { type: 'refused', reason, mayHaveRun, isLocal: !mayHaveRun && LOCAL_REASONS.includes(reason), retryAfterMs }
}
