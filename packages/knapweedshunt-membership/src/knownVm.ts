import type { VmView } from 'knapweedshunt-types'
import { EndpointStatusTable } from './endpointStatusTable.ts'
import type { VmFailureReport, VmDelta } from './vmDelta.ts'

/** State of one VM of the data centre as this VM knows it; each part carries the version of that VM at which it last changed. */
export class KnownVm {
  view: VmView
  version: number
  /** When the version last increased, by the monotonic clock. */
  lastHeartbeatAtMs: number
  isPlatformReachable = true
  failureReport: VmFailureReport = { suspects: [], dead: [] }
  readonly endpointStatus = new EndpointStatusTable()
  #viewVersion: number
  #appliedRevisionVersion: number
  #platformVersion: number
  #failureReportVersion: number

  constructor (view: VmView, version: number) {
    this.view = view
    this.version = version
    this.lastHeartbeatAtMs = performance.now()
    this.#viewVersion = version
    this.#appliedRevisionVersion = version
    this.#platformVersion = version
    this.#failureReportVersion = version
  }

  /** Position of this incarnation among those of the same VM name, 0 when unknown; see `VmView.order`. */
  get incarnationOrder (): number {
    return this.view.order ?? 0
  }

  /** Updates parts of this VM's own state; each change increments the version, and an unchanged part keeps its version. */
  updateOwn (parts: { state?: VmView['state'], appliedRevision?: number, isPlatformReachable?: boolean, failureReport?: VmFailureReport }): void {
    if (parts.state !== undefined && parts.state !== this.view.state) {
      this.view = { ...this.view, state: parts.state }
      this.#viewVersion = ++this.version
    }
    if (parts.appliedRevision !== undefined && parts.appliedRevision !== this.view.appliedRevision) {
      this.view = { ...this.view, appliedRevision: parts.appliedRevision }
      this.#appliedRevisionVersion = ++this.version
    }
    if (parts.isPlatformReachable !== undefined && parts.isPlatformReachable !== this.isPlatformReachable) {
      this.isPlatformReachable = parts.isPlatformReachable
      this.#platformVersion = ++this.version
    }
    if (parts.failureReport !== undefined && JSON.stringify(parts.failureReport) !== JSON.stringify(this.failureReport)) {
      this.failureReport = parts.failureReport
      this.#failureReportVersion = ++this.version
    }
  }

  /** Builds what is newer than a version, or everything when the receiver has none; null when nothing is newer. */
  buildDelta (key: string, afterVersion: number | undefined): VmDelta | null {
    if (afterVersion !== undefined && afterVersion >= this.version) return null
    const since = afterVersion ?? -1
    const delta: VmDelta = { k: key, v: this.version }
    if (this.#viewVersion > since) delta.view = this.view
    if (this.#appliedRevisionVersion > since) delta.r = this.view.appliedRevision
    if (this.#platformVersion > since) delta.p = this.isPlatformReachable
    if (this.#failureReportVersion > since) delta.c = this.failureReport
    const endpoints = this.endpointStatus.buildDelta(since, this.version)
    if (endpoints) delta.e = endpoints
    return delta
  }

  /** Applies newer parts. Returns whether anything but the heartbeat changed. */
  applyDelta (delta: VmDelta): boolean {
    this.version = delta.v
    this.lastHeartbeatAtMs = performance.now()
    const { view, r, p, c, e } = delta
    if (view) this.view = { ...view, appliedRevision: Math.max(view.appliedRevision, this.view.appliedRevision) }
    if (view) this.#viewVersion = delta.v
    if (r !== undefined) this.#applyAppliedRevision(r, delta.v)
    if (p !== undefined) this.isPlatformReachable = p
    if (p !== undefined) this.#platformVersion = delta.v
    if (c) this.failureReport = c
    if (c) this.#failureReportVersion = delta.v
    if (e) this.endpointStatus.applyDelta(e, delta.v)
    return view !== undefined || r !== undefined || p !== undefined || c !== undefined || e !== undefined
  }

  #applyAppliedRevision (revision: number, version: number): void {
    this.view = { ...this.view, appliedRevision: Math.max(revision, this.view.appliedRevision) }
    this.#appliedRevisionVersion = version
  }
}
