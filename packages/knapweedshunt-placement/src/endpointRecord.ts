import type { EndpointName, EndpointSpec, EndpointView, Incarnation } from 'knapweedshunt-types'
import { EndpointState } from './endpointState.ts'
import type { EndpointIdentity } from './endpointState.ts'
import { parseKeySeed } from './hashSeed.ts'
import type { HashSeed } from './hashSeed.ts'
import type { PlacementOptions } from './placementOptions.ts'

/** Maximum number of past incarnations remembered, so that late reports of them are recognised. */
const MAX_PAST_INCARNATIONS = 8

/** Identity of the engine process that serves at an endpoint. */
export type ServingIdentity = Pick<EndpointIdentity, 'incarnation' | 'weightsVersion' | 'adapter'>

/** One declared endpoint across its incarnations. */
export class EndpointRecord {
  readonly endpoint: EndpointName
  /** State of the current incarnation with its current weights and adapter. */
  state: EndpointState
  readonly #seed: HashSeed
  readonly #options: PlacementOptions
  #pastIncarnations: Incarnation[] = []

  constructor (endpoint: EndpointName, spec: EndpointSpec, options: PlacementOptions) {
    this.endpoint = endpoint
    this.#seed = parseKeySeed(endpoint)
    this.#options = options
    this.state = this.#buildState({ incarnation: '', weightsVersion: null, adapter: '' }, spec, -Infinity)
  }

  /** Replaces the declared spec. */
  updateSpec (spec: EndpointSpec): void {
    this.state.spec = spec
  }

  /** Applies a view; one of a past incarnation is late and ignored. */
  applyView (view: EndpointView, nowMs: number): void {
    const { incarnation, weightsVersion, load } = view
    const adapter = load === null ? this.state.adapter : load.adapter ?? ''
    if (this.updateIdentity({ incarnation, weightsVersion, adapter }, nowMs)) this.state.applyView(view, nowMs)
  }

  /** Updates the serving identity. Returns false for a past incarnation, or for an empty one when the incarnation is already known. */
  updateIdentity (identity: ServingIdentity, nowMs: number): boolean {
    const { state } = this
    const { incarnation } = identity
    if (incarnation === '') return state.incarnation === ''
    if (this.#pastIncarnations.includes(incarnation)) return false
    if (!hasSameIdentity(state, identity)) this.#replaceState(identity, nowMs)
    return true
  }

  #replaceState (identity: ServingIdentity, nowMs: number): void {
    const before = this.state
    const isFirst = before.incarnation === ''
    this.state = this.#buildState(identity, before.spec, isFirst ? -Infinity : nowMs)
    this.state.isAvoided = before.isAvoided
    if (before.incarnation === identity.incarnation) {
      this.state.liveness = before.liveness
      this.state.role = before.role
    } else if (!isFirst) this.#pastIncarnations = [...this.#pastIncarnations, before.incarnation].slice(-MAX_PAST_INCARNATIONS)
  }

  #buildState (identity: ServingIdentity, spec: EndpointSpec, cacheEmptySinceMs: number): EndpointState {
    return new EndpointState({ endpoint: this.endpoint, seed: this.#seed, ...identity }, spec, cacheEmptySinceMs, this.#options)
  }
}

function hasSameIdentity (state: EndpointState, { incarnation, weightsVersion, adapter }: ServingIdentity): boolean {
  return state.incarnation === incarnation && state.weightsVersion === weightsVersion && state.adapter === adapter
}
