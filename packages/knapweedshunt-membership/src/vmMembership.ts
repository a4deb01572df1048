import type { Incarnation, Liveness, VmId, VmView } from 'knapweedshunt-types'
import { KnownVm } from './knownVm.ts'
import { DEFAULT_MEMBERSHIP_OPTIONS } from './membershipOptions.ts'
import type { MembershipOptions } from './membershipOptions.ts'
import { nameVmKey } from './vmDelta.ts'
import type { VmClaims, VmDelta, VmKey, VmVersions } from './vmDelta.ts'

/** What happened to this VM itself, noted by the membership. */
export type MembershipEvent =
  /** The VM goes on under a new incarnation, since the former one was dead for others or was paused too long. */
  | { type: 'reincarnated', former: Incarnation, incarnation: Incarnation }
  /** Another process runs under this VM's name. */
  | { type: 'superseded', by: Incarnation }

/** Which VMs of one data centre live, from their heartbeats and each other's claims. Opens nothing. */
export class VmMembership {
  readonly #options: MembershipOptions
  readonly #drawIncarnation: () => Incarnation
  readonly #known = new Map<VmId, KnownVm>()
  readonly #keys = new Map<VmKey, VmId>()
  readonly #states = new Map<VmId, Liveness>()
  readonly #startedAtMs = performance.now()
  #self: KnownVm
  #tickedAtMs = performance.now()
  #tickedWallMs = Date.now()
  #events: MembershipEvent[] = []
  #superseded = false

  constructor (self: VmView, drawIncarnation: () => Incarnation, options: MembershipOptions = DEFAULT_MEMBERSHIP_OPTIONS) {
    this.#self = new KnownVm({ ...self, order: self.order ?? Date.now() }, 1)
    this.#drawIncarnation = drawIncarnation
    this.#options = options
  }

  /** This VM; its parts are changed through the methods below only. */
  get self (): KnownVm {
    return this.#self
  }

  /** Whether another process runs under this VM's name; this one must tell nothing more. */
  get isSuperseded (): boolean {
    return this.#superseded
  }

  /** Counts one heartbeat and judges the others. Returns what happened to this VM since the last call. */
  tick (): MembershipEvent[] {
    this.#noteOwnPause()
    this.#self.version++
    for (const known of this.#known.values()) this.#judge(known)
    this.#self.setOwn({ claims: this.#buildClaims() })
    const events = this.#events
    this.#events = []
    return events
  }

  /** Records the revision this VM applies. */
  setAppliedRevision (revision: number): void {
    this.#self.setOwn({ appliedRevision: Math.max(revision, this.#self.view.appliedRevision) })
  }

  /** Records whether the platform answered this VM. */
  setPlatformAnswers (answers: boolean): void {
    this.#self.setOwn({ platformAnswers: answers })
  }

  /** Records that this VM shuts down. */
  setLeaving (): void {
    this.#self.setOwn({ state: 'leaving' })
  }

  /** Versions known, for a peer to answer with what is newer. */
  buildVersions (): VmVersions {
    const versions: VmVersions = {}
    for (const known of this.#known.values()) versions[nameVmKey(known.view.incarnation)] = known.version
    versions[nameVmKey(this.#self.view.incarnation)] = this.#self.version
    return versions
  }

  /** What a peer with these versions lacks. Of dead VMs nothing is told but the claim. */
  buildDeltas (versions: VmVersions): VmDelta[] {
    const tellable = [this.#self, ...this.#known.values()].filter(known => this.findState(known.view.vm) !== 'dead')
    const deltas = tellable.map(known => {
      const key = nameVmKey(known.view.incarnation)
      return known.buildDelta(key, versions[key])
    })
    return deltas.filter(delta => delta !== null)
  }

  /** What a peer that has a version lacks of this VM alone, to be pushed unasked. */
  buildOwnDelta (after: number | undefined): VmDelta | null {
    const delta = this.#self.buildDelta(nameVmKey(this.#self.view.incarnation), after)
    return delta === null || after === undefined ? delta : { ...delta, s: after }
  }

  /** Version of this VM that the versions hold. */
  findOwnVersion (versions: VmVersions): number | undefined {
    return versions[nameVmKey(this.#self.view.incarnation)]
  }

  /** Takes what a peer told. Returns whether anything but heartbeats changed. */
  takeDeltas (deltas: VmDelta[]): boolean {
    let isChanged = false
    for (const delta of deltas) isChanged = this.#takeDelta(delta) || isChanged
    return isChanged
  }

  /** State of a VM of this data centre, undefined when it is not known. */
  findState (vm: VmId): Liveness | undefined {
    return vm === this.#self.view.vm ? this.#self.view.state : this.#states.get(vm)
  }

  /** Names of the live VMs, this one included unless it leaves. */
  listLive (): VmId[] {
    return this.listVms().filter(view => view.state === 'live').map(view => view.vm)
  }

  /** Live VMs to which the platform answers, or has not been asked. */
  listPlatformReaders (): VmId[] {
    return this.listLive().filter(vm => this.#find(vm)?.platformAnswers)
  }

  /** All known VMs with their judged states, this one first. */
  listVms (): VmView[] {
    const others = [...this.#known.values()].map(known => ({ ...known.view, state: this.#states.get(known.view.vm) ?? 'live' }))
    return [this.#self.view, ...others]
  }

  /** All known VMs that are not dead, with their endpoint boards, this one first. */
  listTellers (): KnownVm[] {
    return [this.#self, ...[...this.#known.values()].filter(known => this.#states.get(known.view.vm) !== 'dead')]
  }

  #find (vm: VmId): KnownVm | undefined {
    return vm === this.#self.view.vm ? this.#self : this.#known.get(vm)
  }

  #takeDelta (delta: VmDelta): boolean {
    if (delta.c) this.#takeOwnDeath(delta.c)
    if (delta.view) return this.#takeView(delta, delta.view)
    const known = this.#known.get(this.#keys.get(delta.k) ?? '')
    if (known === undefined || nameVmKey(known.view.incarnation) !== delta.k) return false
    return this.#takeKnown(known, delta)
  }

  #takeView (delta: VmDelta, view: VmView): boolean {
    if (view.vm === this.#self.view.vm) return this.#takeOwnName(view)
    const known = this.#known.get(view.vm)
    if (known && known.view.incarnation === view.incarnation) return this.#takeKnown(known, delta)
    if (known && !isLater(view, known.view)) return false
    const fresh = new KnownVm(view, delta.v)
    fresh.takeDelta(delta)
    if (known) this.#keys.delete(nameVmKey(known.view.incarnation))
    this.#known.set(view.vm, fresh)
    this.#keys.set(nameVmKey(view.incarnation), view.vm)
    this.#states.set(view.vm, view.state === 'leaving' ? 'leaving' : 'live')
    return true
  }

  #takeKnown (known: KnownVm, delta: VmDelta): boolean {
    const { vm } = known.view
    if (delta.v <= known.version || this.#states.get(vm) === 'dead') return false
    if (delta.s !== undefined && delta.s > known.version) return false
    const isLeaving = known.view.state === 'leaving'
    const isChanged = known.takeDelta(delta)
    if (isLeaving) known.view = { ...known.view, state: 'leaving' }
    this.#states.set(vm, known.view.state === 'leaving' ? 'leaving' : 'live')
    return isChanged
  }

  #takeOwnName (view: VmView): boolean {
    const own = this.#self.view
    if (view.incarnation === own.incarnation || !isLater(view, own)) return false
    const isJoining = performance.now() - this.#startedAtMs < this.#options.joiningMs
    if (isJoining) return this.#reincarnate(view.order ?? 0)
    this.#superseded = true
    this.#events.push({ type: 'superseded', by: view.incarnation })
    return true
  }

  #takeOwnDeath (claims: VmClaims): void {
    const order = this.#self.order
    const claim = claims.dead.find(one => one.vm === this.#self.view.vm && one.order >= order)
    if (claim) this.#reincarnate(claim.order)
  }

  #reincarnate (atLeast: number): boolean {
    const former = this.#self
    const order = Math.max(Date.now(), former.order + 1, atLeast + 1)
    const view: VmView = { ...former.view, incarnation: this.#drawIncarnation(), order }
    this.#self = new KnownVm(view, 1)
    this.#self.platformAnswers = former.platformAnswers
    this.#events.push({ type: 'reincarnated', former: former.view.incarnation, incarnation: view.incarnation })
    return true
  }

  #noteOwnPause (): void {
    const now = performance.now()
    const wallMs = Date.now()
    const gapMs = Math.max(now - this.#tickedAtMs, wallMs - this.#tickedWallMs)
    this.#tickedAtMs = now
    this.#tickedWallMs = wallMs
    if (gapMs < this.#options.pauseGapMs) return
    for (const known of this.#known.values()) known.heardAtMs = now
    if (gapMs >= this.#options.deadAfterMs) this.#reincarnate(this.#self.order)
  }

  #judge (known: KnownVm): void {
    const { vm } = known.view
    const state = this.#states.get(vm)
    const silentMs = performance.now() - known.heardAtMs
    if (state === 'dead') return this.#forgetOld(known, silentMs)
    if (silentMs < this.#options.suspectAfterMs) return
    if (this.#isConfirmedDead(known, silentMs)) this.#states.set(vm, 'dead')
    else if (state === 'live') this.#states.set(vm, 'suspect')
  }

  #isConfirmedDead (known: KnownVm, silentMs: number): boolean {
    const { vm } = known.view
    const others = [...this.#known.values()].filter(one => one !== known && this.#states.get(one.view.vm) === 'live')
    if (others.some(one => one.claims.dead.some(dead => dead.vm === vm && dead.order >= known.order))) return true
    if (silentMs < this.#options.deadAfterMs) return false
    if (others.length === 0) return silentMs >= this.#options.aloneDeadAfterMs
    return others.some(one => one.claims.suspects.includes(nameVmKey(known.view.incarnation)))
  }

  #forgetOld (known: KnownVm, silentMs: number): void {
    if (silentMs < this.#options.retainMs) return
    const { vm, incarnation } = known.view
    this.#known.delete(vm)
    this.#states.delete(vm)
    this.#keys.delete(nameVmKey(incarnation))
  }

  #buildClaims (): VmClaims {
    const claims: VmClaims = { suspects: [], dead: [] }
    for (const known of this.#known.values()) {
      const state = this.#states.get(known.view.vm)
      const silentMs = performance.now() - known.heardAtMs
      if (state === 'dead') claims.dead.push({ vm: known.view.vm, order: known.order })
      else if (silentMs >= this.#options.suspectAfterMs) claims.suspects.push(nameVmKey(known.view.incarnation))
    }
    return claims
  }
}

/** Whether one incarnation of a VM name comes after another. */
function isLater (view: VmView, than: VmView): boolean {
  const order = view.order ?? 0
  const thanOrder = than.order ?? 0
  return order > thanOrder || (order === thanOrder && view.incarnation > than.incarnation)
}
