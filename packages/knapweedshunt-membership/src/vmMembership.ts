import type { Incarnation, Liveness, VmId, VmView } from 'knapweedshunt-types'
import { KnownVm } from './knownVm.ts'
import { DEFAULT_MEMBERSHIP_OPTIONS } from './membershipOptions.ts'
import type { MembershipOptions } from './membershipOptions.ts'
import { buildVmKey } from './vmDelta.ts'
import type { VmFailureReport, VmDelta, VmKey, VmVersions } from './vmDelta.ts'

/** Change to the identity of this VM, returned by {@link VmMembership.tick}. */
export type MembershipEvent =
  /** The VM continues under a new incarnation: others declared the former one dead, it paused too long, or a former process of the name was still known with a later order. */
  | { type: 'reincarnated', former: Incarnation, incarnation: Incarnation }
  /** A later process runs under this VM's name. */
  | { type: 'superseded', by: Incarnation }

/** Membership of the VMs of one data centre, derived from heartbeats and failure reports that they exchange. Performs no I/O. */
export class VmMembership {
  readonly #options: MembershipOptions
  readonly #createIncarnation: () => Incarnation
  readonly #knownVms = new Map<VmId, KnownVm>()
  readonly #keys = new Map<VmKey, VmId>()
  readonly #states = new Map<VmId, Liveness>()
  readonly #startedAtMs = performance.now()
  #self: KnownVm
  #lastTickAtMs = performance.now()
  #lastTickWallMs = Date.now()
  #events: MembershipEvent[] = []
  #isSuperseded = false

  constructor (self: VmView, createIncarnation: () => Incarnation, options: MembershipOptions = DEFAULT_MEMBERSHIP_OPTIONS) {
    this.#self = new KnownVm({ ...self, order: self.order ?? Date.now() }, 1)
    this.#createIncarnation = createIncarnation
    this.#options = options
  }

  /** State of this VM; change it only through the methods below. */
  get self (): KnownVm {
    return this.#self
  }

  /** Whether a later process runs under this VM's name; this one must send no further state. */
  get isSuperseded (): boolean {
    return this.#isSuperseded
  }

  /** Increments the own heartbeat and updates the states of the other VMs. Returns the changes of identity since the last call. */
  tick (): MembershipEvent[] {
    this.#handleOwnPause()
    this.#self.version++
    for (const known of this.#knownVms.values()) this.#updateState(known)
    this.#self.updateOwn({ failureReport: this.#buildFailureReport() })
    const events = this.#events
    this.#events = []
    return events
  }

  /** Records the configuration revision that this VM applies; a lower one is ignored. */
  setAppliedRevision (revision: number): void {
    this.#self.updateOwn({ appliedRevision: Math.max(revision, this.#self.view.appliedRevision) })
  }

  /** Records whether the platform answered this VM's last read. */
  setPlatformReachable (isReachable: boolean): void {
    this.#self.updateOwn({ isPlatformReachable: isReachable })
  }

  /** Marks this VM as leaving; call it at the start of a shutdown. */
  setLeaving (): void {
    this.#self.updateOwn({ state: 'leaving' })
  }

  /** Builds the gossip digest: the known version of each VM incarnation, to which a peer replies with newer state. */
  buildVersions (): VmVersions {
    const versions: VmVersions = {}
    for (const known of this.#knownVms.values()) versions[buildVmKey(known.view.incarnation)] = known.version
    versions[buildVmKey(this.#self.view.incarnation)] = this.#self.version
    return versions
  }

  /** Builds what a peer with these versions lacks. Dead VMs are left out: peers learn of them through failure reports only. */
  buildDeltas (versions: VmVersions): VmDelta[] {
    const reportable = [this.#self, ...this.#knownVms.values()].filter(known => this.findState(known.view.vm) !== 'dead')
    const deltas = reportable.map(known => {
      const key = buildVmKey(known.view.incarnation)
      return known.buildDelta(key, versions[key])
    })
    return deltas.filter(delta => delta !== null)
  }

  /** Builds what a peer that has a version lacks of this VM, for an unsolicited push. */
  buildOwnDelta (afterVersion: number | undefined): VmDelta | null {
    const delta = this.#self.buildDelta(buildVmKey(this.#self.view.incarnation), afterVersion)
    return delta === null || afterVersion === undefined ? delta : { ...delta, s: afterVersion }
  }

  /** Finds the version of this VM's present incarnation in a peer's digest; undefined when the peer has none. */
  findOwnVersion (versions: VmVersions): number | undefined {
    return versions[buildVmKey(this.#self.view.incarnation)]
  }

  /** Applies the deltas of a peer. Returns whether anything but heartbeats changed. */
  applyDeltas (deltas: VmDelta[]): boolean {
    let isChanged = false
    for (const delta of deltas) isChanged = this.#applyDelta(delta) || isChanged
    return isChanged
  }

  /** Finds the state of a VM of this data centre; undefined when the VM is not known. */
  findState (vm: VmId): Liveness | undefined {
    return vm === this.#self.view.vm ? this.#self.view.state : this.#states.get(vm)
  }

  /** Lists the live VMs, this one included unless it is leaving. */
  listLive (): VmId[] {
    return this.listVms().filter(view => view.state === 'live').map(view => view.vm)
  }

  /** Lists the live VMs whose last platform read was answered, or that have not read yet. */
  listPlatformPollers (): VmId[] {
    return this.listLive().filter(vm => this.#find(vm)?.isPlatformReachable)
  }

  /** Lists all known VMs with the states that this VM has determined, this one first. */
  listVms (): VmView[] {
    const others = [...this.#knownVms.values()].map(known => ({ ...known.view, state: this.#states.get(known.view.vm) ?? 'live' }))
    return [this.#self.view, ...others]
  }

  /** Lists all known VMs that are not dead, with the endpoint states that they report, this one first. */
  listReporters (): KnownVm[] {
    return [this.#self, ...[...this.#knownVms.values()].filter(known => this.#states.get(known.view.vm) !== 'dead')]
  }

  #find (vm: VmId): KnownVm | undefined {
    return vm === this.#self.view.vm ? this.#self : this.#knownVms.get(vm)
  }

  #applyDelta (delta: VmDelta): boolean {
    if (delta.c) this.#refuteOwnDeath(delta.c)
    if (delta.view) return this.#applyView(delta, delta.view)
    const known = this.#knownVms.get(this.#keys.get(delta.k) ?? '')
    if (known === undefined || buildVmKey(known.view.incarnation) !== delta.k) return false
    return this.#applyToKnown(known, delta)
  }

  #applyView (delta: VmDelta, view: VmView): boolean {
    if (view.vm === this.#self.view.vm) return this.#handleSameName(view)
    const known = this.#knownVms.get(view.vm)
    if (known && known.view.incarnation === view.incarnation) return this.#applyToKnown(known, delta)
    if (known && !isLater(view, known.view)) return false
    const newVm = new KnownVm(view, delta.v)
    newVm.applyDelta(delta)
    if (known) this.#keys.delete(buildVmKey(known.view.incarnation))
    this.#knownVms.set(view.vm, newVm)
    this.#keys.set(buildVmKey(view.incarnation), view.vm)
    this.#states.set(view.vm, view.state === 'leaving' ? 'leaving' : 'live')
    return true
  }

  #applyToKnown (known: KnownVm, delta: VmDelta): boolean {
    const { vm } = known.view
    if (delta.v <= known.version || this.#states.get(vm) === 'dead') return false
    if (delta.s !== undefined && delta.s > known.version) return false
    const isLeaving = known.view.state === 'leaving'
    const isChanged = known.applyDelta(delta)
    if (isLeaving) known.view = { ...known.view, state: 'leaving' }
    this.#states.set(vm, known.view.state === 'leaving' ? 'leaving' : 'live')
    return isChanged
  }

  #handleSameName (view: VmView): boolean {
    const own = this.#self.view
    if (view.incarnation === own.incarnation || !isLater(view, own)) return false
    const isJoining = performance.now() - this.#startedAtMs < this.#options.joinPeriodMs
    if (isJoining) return this.#reincarnate(view.order ?? 0)
    this.#isSuperseded = true
    this.#events.push({ type: 'superseded', by: view.incarnation })
    return true
  }

  #refuteOwnDeath (failureReport: VmFailureReport): void {
    const order = this.#self.incarnationOrder
    const deadReport = failureReport.dead.find(one => one.vm === this.#self.view.vm && one.order >= order)
    if (deadReport) this.#reincarnate(deadReport.order)
  }

  #reincarnate (minOrder: number): boolean {
    const former = this.#self
    const order = Math.max(Date.now(), former.incarnationOrder + 1, minOrder + 1)
    const view: VmView = { ...former.view, incarnation: this.#createIncarnation(), order }
    this.#self = new KnownVm(view, 1)
    this.#self.isPlatformReachable = former.isPlatformReachable
    this.#events.push({ type: 'reincarnated', former: former.view.incarnation, incarnation: view.incarnation })
    return true
  }

  #handleOwnPause (): void {
    const now = performance.now()
    const wallMs = Date.now()
    const gapMs = Math.max(now - this.#lastTickAtMs, wallMs - this.#lastTickWallMs)
    this.#lastTickAtMs = now
    this.#lastTickWallMs = wallMs
    if (gapMs < this.#options.pauseThresholdMs) return
    for (const known of this.#knownVms.values()) known.lastHeartbeatAtMs = now
    if (gapMs >= this.#options.deadAfterMs) this.#reincarnate(this.#self.incarnationOrder)
  }

  #updateState (known: KnownVm): void {
    const { vm } = known.view
    const state = this.#states.get(vm)
    const silentMs = performance.now() - known.lastHeartbeatAtMs
    if (state === 'dead') return this.#removeExpired(known, silentMs)
    if (silentMs < this.#options.suspectAfterMs) return
    if (this.#isConfirmedDead(known, silentMs)) this.#states.set(vm, 'dead')
    else if (state === 'live') this.#states.set(vm, 'suspect')
  }

  #isConfirmedDead (known: KnownVm, silentMs: number): boolean {
    const { vm } = known.view
    const others = [...this.#knownVms.values()].filter(one => one !== known && this.#states.get(one.view.vm) === 'live')
    if (others.some(one => one.failureReport.dead.some(dead => dead.vm === vm && dead.order >= known.incarnationOrder))) return true
    if (silentMs < this.#options.deadAfterMs) return false
    if (others.length === 0) return silentMs >= this.#options.unconfirmedDeadAfterMs
    return others.some(one => one.failureReport.suspects.includes(buildVmKey(known.view.incarnation)))
  }

  #removeExpired (known: KnownVm, silentMs: number): void {
    if (silentMs < this.#options.deadRetentionMs) return
    const { vm, incarnation } = known.view
    this.#knownVms.delete(vm)
    this.#states.delete(vm)
    this.#keys.delete(buildVmKey(incarnation))
  }

  #buildFailureReport (): VmFailureReport {
    const failureReport: VmFailureReport = { suspects: [], dead: [] }
    for (const known of this.#knownVms.values()) {
      const state = this.#states.get(known.view.vm)
      const silentMs = performance.now() - known.lastHeartbeatAtMs
      if (state === 'dead') failureReport.dead.push({ vm: known.view.vm, order: known.incarnationOrder })
      else if (silentMs >= this.#options.suspectAfterMs) failureReport.suspects.push(buildVmKey(known.view.incarnation))
    }
    return failureReport
  }
}

/** Whether one incarnation of a VM name comes after another; equal orders are decided by the incarnation. */
function isLater (view: VmView, other: VmView): boolean {
  const order = view.order ?? 0
  const otherOrder = other.order ?? 0
  return order > otherOrder || (order === otherOrder && view.incarnation > other.incarnation)
}
