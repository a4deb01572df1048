import type { PoolName, VmId } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { PeerView } from './peerAddress.ts'
import { MAX_MESSAGE_VERSIONS } from './streamMessages.ts'

/** Pause after the first failed call, in milliseconds; it doubles with each further one, as VMs that have no processor time to answer get the calls of all others. */
const RETRY_INTERVAL_MS = 100
const MAX_RETRY_INTERVAL_MS = 400

interface InformedVm {
  view: PeerView
  /** Versions that it has not acknowledged, by pool. */
  pending: Map<PoolName, string[]>
  /** Versions that it has acknowledged, by pool. */
  acknowledged: Map<PoolName, Set<string>>
  isSending: boolean
}

/** Dependencies of {@link VersionNotices}. */
export interface VersionNoticesDependencies {
  /** Ends all calls. */
  signal: AbortSignal
  listPeers (): PeerView[]
  call (view: PeerView, method: string, params: unknown): Promise<unknown>
  onFailed (vm: VmId, reason: string): void
}

/** Tells the other VMs of software versions that are not settled, until each VM has acknowledged them. */
export class VersionNotices {
  readonly #dependencies: VersionNoticesDependencies
  readonly #vms = new Map<VmId, InformedVm>()

  constructor (dependencies: VersionNoticesDependencies) {
    this.#dependencies = dependencies
  }

  /** Sends the versions of a pool to the VMs that have not acknowledged all of them; what was sent of other versions is forgotten. */
  announce (pool: PoolName, softwareVersions: readonly string[]): void {
    if (softwareVersions.length === 0) return this.#remove(pool)
    for (const view of this.#dependencies.listPeers()) {
      const vm = this.#getOrCreate(view)
      const acknowledged = softwareVersions.filter(version => vm.acknowledged.get(pool)?.has(version))
      vm.acknowledged.set(pool, new Set(acknowledged))
      vm.pending.set(pool, softwareVersions.filter(version => !acknowledged.includes(version)))
      if (!vm.isSending) this.#sendAll(vm).catch(() => {}) // Failed calls are reported by onFailed.
    }
  }

  /** Whether a VM has acknowledged a version of a pool since it started. */
  isAcknowledged ({ vm, address }: PeerView, pool: PoolName, softwareVersion: string): boolean {
    const known = this.#vms.get(vm)
    return known !== undefined && known.view.address.key === address.key && (known.acknowledged.get(pool)?.has(softwareVersion) ?? false)
  }

  #remove (pool: PoolName): void {
    for (const { pending, acknowledged } of this.#vms.values()) {
      pending.delete(pool)
      acknowledged.delete(pool)
    }
  }

  /** A VM that restarted has forgotten what it was told. */
  #getOrCreate (view: PeerView): InformedVm {
    const known = this.#vms.get(view.vm)
    if (known?.view.address.key === view.address.key) return known
    known?.pending.clear()
    const created: InformedVm = { view, pending: new Map(), acknowledged: new Map(), isSending: false }
    this.#vms.set(view.vm, created)
    return created
  }

  async #sendAll (vm: InformedVm): Promise<void> {
    const { signal } = this.#dependencies
    vm.isSending = true
    let pauseMs = RETRY_INTERVAL_MS
    while (!signal.aborted) {
      const next = [...vm.pending].find(([, versions]) => versions.length > 0)
      if (next === undefined) break
      const [pool, versions] = next
      if (await this.#send(vm, pool, versions.slice(0, MAX_MESSAGE_VERSIONS))) {
        pauseMs = RETRY_INTERVAL_MS
        continue
      }
      await sleep(pauseMs, signal)
      pauseMs = Math.min(2 * pauseMs, MAX_RETRY_INTERVAL_MS)
    }
    vm.isSending = false
  }

  async #send ({ view, pending, acknowledged }: InformedVm, pool: PoolName, softwareVersions: string[]): Promise<boolean> {
    try {
      await this.#dependencies.call(view, 'streams.versions', { pool, softwareVersions })
      for (const version of softwareVersions) acknowledged.get(pool)?.add(version)
      pending.set(pool, pending.get(pool)?.filter(version => !softwareVersions.includes(version)) ?? [])
      return true
    } catch (error) {
      this.#dependencies.onFailed(view.vm, (error as Error).message)
      return false
    }
  }
}
