import { hashText } from 'knapweedshunt-utils'

/** Maximum number of streams; at 300 a second, what begins in a minute. */
const MAX_STREAMS = 20_000

const KEY_CHARS = 32

/** A stream and the software version of the endpoint that began it. */
export interface StreamVersion {
  key: string
  softwareVersion: string
}

interface KnownStream {
  pool: string
  softwareVersion: string
  atMs: number
}

/** Identifies a stream among all organisations and pools by the request that brought its first event; without the request's id the key reveals nothing. */
export function computeStreamKey (organisation: string, pool: string, firstRequestId: string): string {
  return hashText(organisation, pool, firstRequestId).slice(0, KEY_CHARS)
}

/** Software versions of the endpoints that began recent streams. */
export class StreamVersionTable {
  /** In the order of recording. */
  readonly #streams = new Map<string, KnownStream>()
  readonly #getRetentionMs: () => number

  /** `getRetentionMs` returns the time for which a stream may be taken up again, in milliseconds. */
  constructor (getRetentionMs: () => number) {
    this.#getRetentionMs = getRetentionMs
  }

  /** Number of streams known. */
  get size (): number {
    return this.#streams.size
  }

  /** Records a stream. What was recorded first stays. */
  record (key: string, pool: string, softwareVersion: string): void {
    this.#removeOld()
    if (!this.#streams.has(key)) this.#streams.set(key, { pool, softwareVersion, atMs: performance.now() })
  }

  /** Finds the software version that began a stream; null if the stream is not known. */
  find (key: string): string | null {
    this.#removeOld()
    return this.#streams.get(key)?.softwareVersion ?? null
  }

  /** Lists the streams of a pool. */
  list (pool: string): StreamVersion[] {
    this.#removeOld()
    return [...this.#streams].filter(([, stream]) => stream.pool === pool).map(([key, { softwareVersion }]) => ({ key, softwareVersion }))
  }

  #removeOld (): void {
    const oldestMs = performance.now() - this.#getRetentionMs()
    for (const [key, { atMs }] of this.#streams) {
      if (atMs >= oldestMs && this.#streams.size <= MAX_STREAMS) return
      this.#streams.delete(key)
    }
  }
}
