/** Time without progress after which a body stands still, in milliseconds; above the pauses between packets of a slow link. */
const STILL_MS = 500

/** Size up to which a part of a body may use the memory for first parts, in bytes. */
export const FIRST_PART_BYTES = 32 * 1024

/** Chunks of a body, and their mean size in bytes, from which on and below which it takes processor time out of proportion; and how many such bodies may arrive at a time, if the process has time left and if not. */
const MANY_CHUNKS = 1_024
const TINY_CHUNK_BYTES = 64
const MAX_TINY_BODIES = 4
const MAX_BUSY_TINY_BODIES = 1

/** Why a body is ended before it has arrived. */
export const EVICTION_REASON = {
  /** Its caller sent nothing for a while. */
  still: 'still',
  /** Its caller has no key, or none that is known. */
  unknownKey: 'unknownKey',
  /** It holds most. */
  largest: 'largest',
  /** It comes in very many very small chunks, as others do. */
  tinyChunks: 'tinyChunks',
  /** It keeps a place at an endpoint and its caller sends nothing. */
  place: 'place',
  /** It keeps a connection and its caller sends nothing. */
  connection: 'connection'
} as const

/** One of {@link EVICTION_REASON}. */
export type EvictionReason = typeof EVICTION_REASON[keyof typeof EVICTION_REASON]

/** A body that still arrives. */
export interface ArrivingBody {
  hasKnownKey: boolean
  /** Whether the next bytes have to come from the caller; false while what has arrived waits for an endpoint. */
  isAwaitingCaller (): boolean
  /** Ends the request; gives its memory back. */
  end (reason: EvictionReason): void
}

/** Options of {@link CallerMemory}. */
export interface CallerMemoryOptions {
  /** Bytes that all bodies may take. */
  keptBytes: number
  /** Bytes beyond these that only parts up to {@link FIRST_PART_BYTES} may take, and chunks that have arrived. */
  firstPartBytes: number
  onEvicted? (reason: EvictionReason, bytes: number): void
  /** Whether the process has no processor time left. */
  isBusy? (): boolean
  /** Called for each chunk. */
  onArrived? (bytes: number): void
}

/** Memory that the bodies of all callers share. When it is short, those without a known key and those that stand still give way. */
export class CallerMemory {
  readonly #options: CallerMemoryOptions
  readonly #arriving = new Set<CallerShare>()
  #takenBytes = 0

  constructor (options: CallerMemoryOptions) {
    this.#options = options
  }

  /** Bytes that all bodies take. */
  get takenBytes (): number {
    return this.#takenBytes
  }

  /** Number of bodies that still arrive. */
  get arrivingCount (): number {
    return this.#arriving.size
  }

  /** Opens the share of a body that begins to arrive. */
  open (body: ArrivingBody): CallerShare {
    const share = new CallerShare(this, body)
    this.#arriving.add(share)
    return share
  }

  /** Ends the body that has stood still for longest, of those that `isChosen` accepts; false if none stands still. */
  tryEndStill (reason: EvictionReason, isChosen: (share: CallerShare) => boolean = () => true): boolean {
    const nowMs = performance.now()
    const still = [...this.#arriving].filter(share => share.isStill(nowMs) && isChosen(share))
    if (still.length === 0) return false
    this.#evict(still.reduce((longest, share) => share.progressAtMs < longest.progressAtMs ? share : longest), reason)
    return true
  }

  /** Takes bytes for a share that will hold `bytes`, if there is room or can be made; `hasArrived` if they are in memory already. */
  tryTake (taker: CallerShare, bytes: number, hasArrived: boolean): boolean {
    const addedBytes = bytes - taker.keptBytes
    if (addedBytes <= 0) {
      this.#takenBytes += addedBytes
      return true
    }
    const isFirstPart = bytes <= FIRST_PART_BYTES
    const maxBytes = this.#options.keptBytes + (isFirstPart || hasArrived ? this.#options.firstPartBytes : 0)
    while (this.#takenBytes > maxBytes - addedBytes) {
      const victim = this.#findVictim(taker, isFirstPart || hasArrived ? bytes : Infinity)
      if (victim === null) return false
      this.#evict(victim.share, victim.reason)
    }
    this.#takenBytes += addedBytes
    return true
  }

  /** Records a chunk of any body. */
  recordArrived (bytes: number): void {
    this.#options.onArrived?.(bytes)
  }

  /** Checks a body that comes in tiny chunks: if too many do, one that stands still gives way, else this one. */
  checkTiny (share: CallerShare): void {
    const others = [...this.#arriving].filter(other => other !== share && other.isTiny)
    if (others.length < MAX_BUSY_TINY_BODIES || (others.length < MAX_TINY_BODIES && !this.#options.isBusy?.())) return
    const nowMs = performance.now()
    this.#evict(others.find(other => other.isStill(nowMs)) ?? share, EVICTION_REASON.tinyChunks)
  }

  /** Gives bytes back. */
  release (bytes: number): void {
    this.#takenBytes -= bytes
  }

  /** Records that a body has arrived, or that its request has ended. */
  removeArriving (share: CallerShare): void {
    this.#arriving.delete(share)
  }

  /** Finds the body that gives way; one that makes progress only if it has more than `moreThanBytes`. */
  #findVictim (taker: CallerShare, moreThanBytes: number): { share: CallerShare, reason: EvictionReason } | null {
    const nowMs = performance.now()
    const others = [...this.#arriving].filter(share => share !== taker && share.keptBytes > 0)
    const strangers = taker.hasKnownKey ? others.filter(share => !share.hasKnownKey) : []
    if (strangers.length > 0) return { share: findLargest(strangers), reason: EVICTION_REASON.unknownKey }
    const still = others.filter(share => (share.hasKnownKey === taker.hasKnownKey || !share.hasKnownKey) && share.isStill(nowMs))
    if (still.length > 0) return { share: findLargest(still), reason: EVICTION_REASON.still }
    const larger = others.filter(share => share.keptBytes > moreThanBytes && share.hasKnownKey === taker.hasKnownKey)
    return larger.length === 0 ? null : { share: findLargest(larger), reason: EVICTION_REASON.largest }
  }

  #evict (share: CallerShare, reason: EvictionReason): void {
    this.#options.onEvicted?.(reason, share.keptBytes)
    this.#arriving.delete(share)
    share.end(reason)
  }
}

/** What one body takes of a {@link CallerMemory}. */
export class CallerShare {
  readonly #memory: CallerMemory
  readonly #body: ArrivingBody
  #keptBytes = 0
  #progressAtMs = performance.now()
  #chunkCount = 0
  #chunkBytes = 0
  #isEnded = false
  /** Pool at whose endpoints the body keeps a place; null before that. */
  pool: string | null = null

  constructor (memory: CallerMemory, body: ArrivingBody) {
    this.#memory = memory
    this.#body = body
  }

  /** Size of what is kept, in bytes. */
  get keptBytes (): number {
    return this.#keptBytes
  }

  /** Whether the access key of the caller is known. */
  get hasKnownKey (): boolean {
    return this.#body.hasKnownKey
  }

  /** Monotonic time at which bytes last arrived. */
  get progressAtMs (): number {
    return this.#progressAtMs
  }

  /** Whether the caller has sent nothing for a while, though it could. */
  isStill (nowMs: number): boolean {
    return nowMs - this.#progressAtMs >= STILL_MS && this.#body.isAwaitingCaller()
  }

  /** Whether the body comes in very many very small chunks. */
  get isTiny (): boolean {
    return this.#chunkCount >= MANY_CHUNKS && this.#chunkBytes < this.#chunkCount * TINY_CHUNK_BYTES
  }

  /** Whether the body gave way. */
  get isEnded (): boolean {
    return this.#isEnded
  }

  /** Records that a chunk arrived; the body may give way for it. */
  recordChunk (bytes: number): void {
    this.#progressAtMs = performance.now()
    this.#chunkCount++
    this.#chunkBytes += bytes
    this.#memory.recordArrived(bytes)
    if (this.#chunkCount % MANY_CHUNKS === 0 && this.isTiny) this.#memory.checkTiny(this)
  }

  /** Sets the size of what is kept, if there is room or others give way; `hasArrived` if it is in memory already. */
  tryResize (bytes: number, hasArrived = false): boolean {
    if (!this.#memory.tryTake(this, bytes, hasArrived)) return false
    this.#keptBytes = bytes
    return true
  }

  /** Records that the body has arrived, so that it does not give way any more. */
  finish (): void {
    this.#memory.removeArriving(this)
  }

  /** Ends the request of the body. */
  end (reason: EvictionReason): void {
    this.#isEnded = true
    this.#body.end(reason)
    this.release()
  }

  /** Gives everything back. */
  release (): void {
    this.finish()
    this.#memory.release(this.#keptBytes)
    this.#keptBytes = 0
  }
}

function findLargest (shares: CallerShare[]): CallerShare {
  return shares.reduce((largest, share) => share.keptBytes > largest.keptBytes ? share : largest)
}
