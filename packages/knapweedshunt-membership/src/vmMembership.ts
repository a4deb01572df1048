import type { VmListEntry, VmView } from 'knapweedshunt-types'
import { DEFAULT_MEMBERSHIP_OPTIONS } from './membershipOptions.ts'
import type { MembershipOptions } from './membershipOptions.ts'
import type { VmDigest } from './vmDigest.ts'

interface KnownVm {
  digest: VmDigest
  /** When the heartbeat last grew, by the monotonic clock. */
  heardAtMs: number
}

/** Which VMs live, from the platform's lagging list and the peers' heartbeats. */
export class VmMembership {
  readonly #options: MembershipOptions
  readonly #self: VmView
  readonly #known = new Map<string, KnownVm>()
  #listed: VmListEntry[] = []
  #heartbeat = 0

  constructor (self: VmView, options: MembershipOptions = DEFAULT_MEMBERSHIP_OPTIONS) {
    this.#self = self
    this.#options = options
  }

  /** Takes the platform's list. */
  takeList (list: VmListEntry[]): void {
    this.#listed = list
  }

  /** Takes what a peer told. */
  takeDigests (digests: VmDigest[]): void {
    for (const digest of digests) {
      if (digest.view.vm === this.#self.vm) continue
      const known = this.#known.get(digest.view.vm)
      if (known && !isNewer(digest, known.digest)) continue
      this.#known.set(digest.view.vm, { digest, heardAtMs: performance.now() })
    }
  }

  /** Records the revision this VM applies. */
  setAppliedRevision (revision: number): void {
    this.#self.appliedRevision = revision
  }

  /** Records that this VM shuts down. */
  setLeaving (): void {
    this.#self.state = 'leaving'
  }

  /** What to tell peers; each call is one heartbeat. */
  buildDigests (): VmDigest[] {
    this.#heartbeat++
    const own: VmDigest = { view: { ...this.#self }, heartbeat: this.#heartbeat }
    return [own, ...[...this.#known.values()].map(known => known.digest)]
  }

  /** Control URLs to talk to: listed VMs and heard ones, without this one. */
  listPeerUrls (): string[] {
    const listed = this.#listed.filter(entry => entry.vm !== this.#self.vm).map(entry => entry.controlUrl)
    const heard = this.listVms().filter(view => view.vm !== this.#self.vm && view.state !== 'dead').map(view => view.controlUrl)
    return [...new Set([...listed, ...heard])]
  }

  /** All known VMs, this one first. */
  listVms (): VmView[] {
    const now = performance.now()
    const others = [...this.#known.values()].map(known => ({ ...known.digest.view, state: this.#judge(known, now) }))
    return [{ ...this.#self }, ...others]
  }

  #judge (known: KnownVm, now: number): VmView['state'] {
    const silentMs = now - known.heardAtMs
    if (silentMs >= this.#options.deadAfterMs) return 'dead'
    if (known.digest.view.state === 'leaving') return 'leaving'
    return silentMs >= this.#options.suspectAfterMs ? 'suspect' : 'live'
  }
}

function isNewer (digest: VmDigest, known: VmDigest): boolean {
  if (digest.view.incarnation !== known.view.incarnation) return known.view.state === 'leaving' || digest.view.state === 'live'
  return digest.heartbeat > known.heartbeat
}
