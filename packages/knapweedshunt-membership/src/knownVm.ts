import type { VmView } from 'knapweedshunt-types'
import { EndpointBoard } from './endpointBoard.ts'
import type { VmClaims, VmDelta } from './vmDelta.ts'

/** What one VM knows of a VM of its data centre; each part is stamped with that VM's version. */
export class KnownVm {
  view: VmView
  version: number
  /** When the version last grew, by the monotonic clock. */
  heardAtMs: number
  platformAnswers = true
  claims: VmClaims = { suspects: [], dead: [] }
  readonly board = new EndpointBoard()
  #viewAt: number
  #appliedAt: number
  #platformAt: number
  #claimsAt: number

  constructor (view: VmView, version: number) {
    this.view = view
    this.version = version
    this.heardAtMs = performance.now()
    this.#viewAt = version
    this.#appliedAt = version
    this.#platformAt = version
    this.#claimsAt = version
  }

  /** Order of the incarnation; see `VmView.order`. */
  get order (): number {
    return this.view.order ?? 0
  }

  /** Sets the VM's own parts under its present version; a part that is equal keeps its stamp. */
  setOwn (parts: { state?: VmView['state'], appliedRevision?: number, platformAnswers?: boolean, claims?: VmClaims }): void {
    if (parts.state !== undefined && parts.state !== this.view.state) {
      this.view = { ...this.view, state: parts.state }
      this.#viewAt = ++this.version
    }
    if (parts.appliedRevision !== undefined && parts.appliedRevision !== this.view.appliedRevision) {
      this.view = { ...this.view, appliedRevision: parts.appliedRevision }
      this.#appliedAt = ++this.version
    }
    if (parts.platformAnswers !== undefined && parts.platformAnswers !== this.platformAnswers) {
      this.platformAnswers = parts.platformAnswers
      this.#platformAt = ++this.version
    }
    if (parts.claims !== undefined && JSON.stringify(parts.claims) !== JSON.stringify(this.claims)) {
      this.claims = parts.claims
      this.#claimsAt = ++this.version
    }
  }

  /** What is newer than a version; everything when the receiver knows none. */
  buildDelta (key: string, after: number | undefined): VmDelta | null {
    if (after !== undefined && after >= this.version) return null
    const since = after ?? -1
    const delta: VmDelta = { k: key, v: this.version }
    if (this.#viewAt > since) delta.view = this.view
    if (this.#appliedAt > since) delta.r = this.view.appliedRevision
    if (this.#platformAt > since) delta.p = this.platformAnswers
    if (this.#claimsAt > since) delta.c = this.claims
    const board = this.board.buildDelta(since, this.version)
    if (board) delta.e = board
    return delta
  }

  /** Takes newer parts. Returns whether anything but the heartbeat changed. */
  takeDelta (delta: VmDelta): boolean {
    this.version = delta.v
    this.heardAtMs = performance.now()
    const { view, r, p, c, e } = delta
    if (view) this.view = { ...view, appliedRevision: Math.max(view.appliedRevision, this.view.appliedRevision) }
    if (view) this.#viewAt = delta.v
    if (r !== undefined) this.#takeApplied(r, delta.v)
    if (p !== undefined) this.platformAnswers = p
    if (p !== undefined) this.#platformAt = delta.v
    if (c) this.claims = c
    if (c) this.#claimsAt = delta.v
    if (e) this.board.takeDelta(e, delta.v)
    return view !== undefined || r !== undefined || p !== undefined || c !== undefined || e !== undefined
  }

  #takeApplied (revision: number, version: number): void {
    this.view = { ...this.view, appliedRevision: Math.max(revision, this.view.appliedRevision) }
    this.#appliedAt = version
  }
}
