import type { EndpointName, EndpointSpec, EndpointView, Incarnation } from 'knapweedshunt-types'
import { EndpointState } from './endpointState.ts'
import type { EndpointIdentity } from './endpointState.ts'
import { readKeySeed } from './hashSeed.ts'
import type { HashSeed } from './hashSeed.ts'
import type { PlacementOptions } from './placementOptions.ts'

/** Earlier incarnations remembered, so that late news of them is known to be late. */
const MAX_RETIRED = 8

/** Who serves at an endpoint. */
export type ServingIdentity = Pick<EndpointIdentity, 'incarnation' | 'weightsVersion' | 'adapter'>

/** One declared endpoint over its incarnations. */
export class EndpointRecord {
  readonly endpoint: EndpointName
  /** Present incarnation at its present weights. */
  state: EndpointState
  readonly #seed: HashSeed
  readonly #options: PlacementOptions
  #retired: Incarnation[] = []

  constructor (endpoint: EndpointName, spec: EndpointSpec, options: PlacementOptions) {
    this.endpoint = endpoint
    this.#seed = readKeySeed(endpoint)
    this.#options = options
    this.state = this.#buildState({ incarnation: '', weightsVersion: null, adapter: '' }, spec, -Infinity)
  }

  /** Takes the declared spec. */
  takeSpec (spec: EndpointSpec): void {
    this.state.spec = spec
  }

  /** Takes a view; one of an earlier incarnation is late and ignored. */
  takeView (view: EndpointView, nowMs: number): void {
    const { incarnation, weightsVersion, load } = view
    const adapter = load === null ? this.state.adapter : load.adapter ?? ''
    if (this.takeIdentity({ incarnation, weightsVersion, adapter }, nowMs)) this.state.takeView(view, nowMs)
  }

  /** Takes what serves now; false if that is an earlier incarnation. */
  takeIdentity (identity: ServingIdentity, nowMs: number): boolean {
    const { state } = this
    const { incarnation } = identity
    if (incarnation === '') return state.incarnation === ''
    if (this.#retired.includes(incarnation)) return false
    if (!isSame(state, identity)) this.#setState(identity, nowMs)
    return true
  }

  #setState (identity: ServingIdentity, nowMs: number): void {
    const before = this.state
    const isFirst = before.incarnation === ''
    this.state = this.#buildState(identity, before.spec, isFirst ? -Infinity : nowMs)
    this.state.isAvoided = before.isAvoided
    if (before.incarnation === identity.incarnation) {
      this.state.liveness = before.liveness
      this.state.role = before.role
    } else if (!isFirst) this.#retired = [...this.#retired, before.incarnation].slice(-MAX_RETIRED)
  }

  #buildState (identity: ServingIdentity, spec: EndpointSpec, emptySinceMs: number): EndpointState {
    return new EndpointState({ endpoint: this.endpoint, seed: this.#seed, ...identity }, spec, emptySinceMs, this.#options)
  }
}

function isSame (state: EndpointState, { incarnation, weightsVersion, adapter }: ServingIdentity): boolean {
  return state.incarnation === incarnation && state.weightsVersion === weightsVersion && state.adapter === adapter
}
