import type { ConfigState } from '../directory/configState.ts'
import type { KeyFreshness } from '../directory/keyFreshness.ts'
import type { CallerCall, CallerIdentity } from '../ports/callerCall.ts'
import { createCallerError } from '../shared/callerError.ts'
import type { KeyRefusal } from './keyRefusal.ts'
import type { RequestPlan } from './requestPlan.ts'
import { RETRY_OTHER_VM_MS } from './retryOtherVm.ts'

/** Checks the access keys of callers against the configuration in force. */
export class CallerAuthenticator {
  readonly #configState: ConfigState
  readonly #keyFreshness: KeyFreshness

  constructor (configState: ConfigState, keyFreshness: KeyFreshness) {
    this.#configState = configState
    this.#keyFreshness = keyFreshness
  }

  /** Returns the identity of the caller. An unknown key may be a new one, so it is rejected only if the keys of this VM are up to date. Throws CallerError. */
  async authenticate ({ key }: CallerCall): Promise<CallerIdentity> {
    if (!await this.#keyFreshness.ensureFresh()) throw createCallerError(503, 'keys_unconfirmed', formatKeysAge(this.#keyFreshness.ageMs), { retryAfterMs: RETRY_OTHER_VM_MS, closesConnection: true })
    const identity = key === null ? undefined : this.#configState.findIdentity(key)
    if (identity !== undefined) return identity
    throw createUnknownKeyError({ key }, false)
  }

  /** Whether the keys of this VM are fresh enough to reject one that is unknown. */
  get isFresh (): boolean {
    return this.#keyFreshness.isFresh
  }

  /** Whether the key of the caller is known, however old the keys of this VM are. */
  isKnown ({ key }: Pick<CallerCall, 'key'>): boolean {
    return key !== null && this.#configState.findIdentity(key) !== undefined
  }

  /** Whether a request that was authenticated on arrival can probably be sent on; `check` decides. */
  isUsable ({ call, identity }: RequestPlan): boolean {
    return identity === null || (this.#keyFreshness.isConfirmable && call.key !== null && this.#configState.findIdentity(call.key) !== undefined)
  }

  /** Checks a request that was authenticated on arrival again; returns null if it may be sent. */
  async check ({ call, identity }: RequestPlan): Promise<KeyRefusal | null> {
    if (identity === null) return null
    if (!await this.#keyFreshness.ensureFresh()) return { type: 'unconfirmed', ageMs: this.#keyFreshness.ageMs }
    return call.key === null || this.#configState.findIdentity(call.key) === undefined ? { type: 'removed' } : null
  }
}

/** Creates the refusal of a caller without a key, or with an unknown one. */
export function createUnknownKeyError ({ key }: Pick<CallerCall, 'key'>, closesConnection: boolean): Error {
  return createCallerError(401, key === null ? 'no_key' : 'unknown_key', 'The request has no access key, or an unknown one.', { closesConnection })
}

/** Describes the age of the access keys, in milliseconds, in a refusal. */
export function formatKeysAge (ageMs: number): string {
  return `The access keys were last confirmed ${Math.round(ageMs)} ms ago.`
}
