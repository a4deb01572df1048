import type { Incarnation, VmId } from 'knapweedshunt-types'
import type { KeyDemand, PlacementEvent } from './placementTypes.ts'

/** Silence after which a peer's demand no longer counts, in milliseconds. */
const PEER_SILENT_MS = 15_000

interface PeerDigest {
  incarnation: Incarnation
  n: number
  atMs: number
  demands: KeyDemand[]
}

/** Sum of what peers said of their hot keys. */
export class PeerDemands {
  readonly #digests = new Map<VmId, PeerDigest>()
  readonly #totals = new Map<string, number>()

  /** Takes a peer's list in place of its last one. */
  take (event: Extract<PlacementEvent, { type: 'peerDemand' }>, nowMs: number): void {
    const known = this.#digests.get(event.vm)
    if (known?.incarnation === event.incarnation && known.n >= event.n) return
    if (known !== undefined) this.#addAll(known.demands, -1)
    const demands = event.demands.map(({ key, tokensPerS }) => ({ key, tokensPerS: Math.max(0, Math.round(tokensPerS)) }))
    this.#digests.set(event.vm, { incarnation: event.incarnation, n: event.n, atMs: nowMs, demands })
    this.#addAll(demands, 1)
  }

  /** Forgets peers that fell silent. */
  dropSilent (nowMs: number): void {
    for (const [vm, digest] of this.#digests) {
      if (nowMs - digest.atMs <= PEER_SILENT_MS) continue
      this.#addAll(digest.demands, -1)
      this.#digests.delete(vm)
    }
  }

  /** Tokens per second that all peers have under a key. */
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
