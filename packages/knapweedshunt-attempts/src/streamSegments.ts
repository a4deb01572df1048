import type { PooledStream } from './pooledStream.ts'
import type { SegmentChanges } from './segmentChanges.ts'
import type { StreamSegment } from './streamSegment.ts'

/** Maximum number of streams in a segment, which is one row. */
const MAX_SEGMENT_STREAMS = 512

/** Maximum number of segments; one read returns their rows. */
const MAX_SEGMENTS = 40

/** Maximum number of segments in one transaction. */
const MAX_CHANGED_SEGMENTS = 20

/** Maximum number of removals in one transaction. */
const MAX_REMOVED_SEGMENTS = 60

/** Number of segments that are opened within the retention, if none is full before. */
const SEGMENTS_PER_RETENTION = 4

interface KnownSegment {
  id: string
  streams: PooledStream[]
  openedAtMs: number
  lastAddedAtMs: number
  isChanged: boolean
}

/** Options of {@link StreamSegments}. */
export interface StreamSegmentsOptions {
  /** Beginning of the ids of new segments; no other process may use the same. */
  idPrefix: string
  /** Returns the time for which a stream may be taken up again, in milliseconds. */
  getRetentionMs (): number
  /** Called with the number of streams that are dropped early because there are too many. */
  onEvicted (count: number): void
}

/** Divides streams into segments for the store, so that each write holds the last streams only. */
export class StreamSegments {
  readonly #options: StreamSegmentsOptions
  /** In the order of opening. */
  readonly #segments = new Map<string, KnownSegment>()
  readonly #keys = new Set<string>()
  readonly #removedIds = new Set<string>()
  #open: KnownSegment | null = null
  #lastNumber = 0

  constructor (options: StreamSegmentsOptions) {
    this.#options = options
  }

  /** Number of streams. */
  get size (): number {
    return this.#keys.size
  }

  /** Whether the store lacks something. */
  get hasChanges (): boolean {
    this.#removeOld()
    return this.#removedIds.size > 0 || [...this.#segments.values()].some(({ isChanged }) => isChanged)
  }

  /** Adds a stream. */
  add (stream: PooledStream): void {
    if (this.#keys.has(stream.key)) return
    const segment = this.#getOrOpen()
    segment.streams.push(stream)
    segment.lastAddedAtMs = performance.now()
    segment.isChanged = true
    this.#keys.add(stream.key)
  }

  /** Takes over a segment that an earlier process wrote. */
  adopt ({ id, streams }: StreamSegment): void {
    const nowMs = performance.now()
    this.#segments.set(id, { id, streams: [...streams], openedAtMs: nowMs, lastAddedAtMs: nowMs, isChanged: false })
    for (const { key } of streams) this.#keys.add(key)
  }

  /** Takes what the next transaction writes. */
  takeChanges (): SegmentChanges {
    this.#removeOld()
    const changed = [...this.#segments.values()].filter(({ isChanged }) => isChanged).slice(0, MAX_CHANGED_SEGMENTS)
    for (const segment of changed) segment.isChanged = false
    const removedIds = [...this.#removedIds].slice(0, MAX_REMOVED_SEGMENTS)
    for (const id of removedIds) this.#removedIds.delete(id)
    return { changed: changed.map(({ id, streams }) => ({ id, streams: [...streams] })), removedIds }
  }

  /** Takes back changes whose write failed. It may still be carried out later, so their segments get no further streams. */
  handleUnwritten ({ changed, removedIds }: SegmentChanges): void {
    for (const id of removedIds) this.#removedIds.add(id)
    for (const { id } of changed) {
      const segment = this.#segments.get(id)
      if (segment !== undefined) segment.isChanged = true
      if (segment === this.#open) this.#open = null
    }
  }

  /** Has all segments written again, after the store has lost writes. */
  resetWritten (): void {
    for (const segment of this.#segments.values()) segment.isChanged = true
  }

  #getOrOpen (): KnownSegment {
    const nowMs = performance.now()
    const maxAgeMs = this.#options.getRetentionMs() / SEGMENTS_PER_RETENTION
    if (this.#open !== null && this.#open.streams.length < MAX_SEGMENT_STREAMS && nowMs - this.#open.openedAtMs <= maxAgeMs) return this.#open
    this.#open = { id: `${this.#options.idPrefix}${++this.#lastNumber}`, streams: [], openedAtMs: nowMs, lastAddedAtMs: nowMs, isChanged: true }
    this.#segments.set(this.#open.id, this.#open)
    this.#evict()
    return this.#open
  }

  #evict (): void {
    for (const segment of this.#segments.values()) {
      if (this.#segments.size <= MAX_SEGMENTS) return
      this.#remove(segment)
      this.#options.onEvicted(segment.streams.length)
    }
  }

  #removeOld (): void {
    const oldestMs = performance.now() - this.#options.getRetentionMs()
    for (const segment of this.#segments.values()) if (segment.lastAddedAtMs < oldestMs) this.#remove(segment)
  }

  #remove (segment: KnownSegment): void {
    this.#segments.delete(segment.id)
    for (const { key } of segment.streams) this.#keys.delete(key)
    this.#removedIds.add(segment.id)
    if (segment === this.#open) this.#open = null
  }
}
