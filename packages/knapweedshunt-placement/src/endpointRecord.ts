import type { EndpointName, EndpointSpec, EndpointView, Incarnation, WeightsVersion } from 'knapweedshunt-types'
import { EndpointState } from './endpointState.ts'
import { readKeySeed } from './hashSeed.ts'
import type { HashSeed } from './hashSeed.ts'
import type { PlacementOptions } from './placementOptions.ts'

/** Earlier incarnations remembered, so that late news of them is known to be late. */
const MAX_RETIRED = 8

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
    this.state = this.#buildState('', null, spec, -Infinity)
  }

  /** Takes the declared spec. */
  takeSpec (spec: EndpointSpec): void {
    this.state.spec = spec
  }

  /** Takes a view; one of an earlier incarnation is late and ignored. */
  takeView (view: EndpointView, nowMs: number): void {
    if (this.takeIdentity(view.incarnation, view.weightsVersion, nowMs)) this.state.takeView(view, nowMs)
  }

  /** Takes what serves now; false if that is an earlier incarnation. */
  takeIdentity (incarnation: Incarnation, weightsVersion: WeightsVersion | null, nowMs: number): boolean {
    const { state } = this
    if (incarnation === '') return state.incarnation === ''
    if (this.#retired.includes(incarnation)) return false
    if (state.incarnation === incarnation && state.weightsVersion === weightsVersion) return true
    this.#replaceState(incarnation, weightsVersion, nowMs)
    return true
  }

  #replaceState (incarnation: Incarnation, weightsVersion: WeightsVersion | null, nowMs: number): void {
    const before = this.state
    const isFirst = before.incarnation === ''
    this.state = this.#buildState(incarnation, weightsVersion, before.spec, isFirst ? -Infinity : nowMs)
    if (before.incarnation === incarnation) this.state.liveness = before.liveness
    else if (!isFirst) this.#retired = [...this.#retired, before.incarnation].slice(-MAX_RETIRED)
  }

  #buildState (incarnation: Incarnation, weightsVersion: WeightsVersion | null, spec: EndpointSpec, emptySinceMs: number): EndpointState {
    return new EndpointState({ endpoint: this.endpoint, seed: this.#seed, incarnation, weightsVersion }, spec, emptySinceMs, this.#options)
  }
}
