import type { Incarnation, VmId } from 'knapweedshunt-types'
import type { KeyDemand, PlacementEvent } from './placementTypes.ts'

/** Time without a digest after which the demand of a peer is removed, in milliseconds. */
const PEER_TIMEOUT_MS = 15_000

interface PeerDigest {
  incarnation: Incarnation
  n: number
  atMs: number
  demands: KeyDemand[]
}

/** Demand by key, summed over the latest digests of all peers. */
export class PeerDemands {
  readonly #digests = new Map<VmId, PeerDigest>()
  readonly #totals = new Map<string, number>()

  /** Replaces the digest of a peer; one that is late or a duplicate within the same incarnation is ignored. */
  updatePeer (event: Extract<PlacementEvent, { type: 'peerDemand' }>, nowMs: number): void {
    const previous = this.#digests.get(event.vm)
    if (previous?.incarnation === event.incarnation && previous.n >= event.n) return
    if (previous !== undefined) this.#addAll(previous.demands, -1)
    const demands = event.demands.map(({ key, tokensPerS }) => ({ key, tokensPerS: Math.max(0, Math.round(tokensPerS)) }))
    this.#digests.set(event.vm, { incarnation: event.incarnation, n: event.n, atMs: nowMs, demands })
    this.#addAll(demands, 1)
  }

  /** Removes peers that sent no digest within the timeout. */
  evictSilentPeers (nowMs: number): void {
    for (const [vm, digest] of this.#digests) {
      if (nowMs - digest.atMs <= PEER_TIMEOUT_MS) continue
      this.#addAll(digest.demands, -1)
      this.#digests.delete(vm)
    }
  }

  /** Returns the demand of all peers for a key, in tokens per second. */
  countTokensPerS (shortKey: string): number {
    return this.#totals.get(shortKey) ?? 0
  }

  #addAll (demands: KeyDemand[], sign: 1 | -1): void {
    for (const { key, tokensPerS } of demands) {
      const total = (this.#totals.get(key) ?? 0) + sign * tokensPerS
      if (total > 0) this.#totals.set(key, total)
      else this.#totals.delete(key)
    }
  }
}
