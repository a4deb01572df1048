/** Time for which a run time counts, in milliseconds, and up to twice that. */
const WINDOW_MS = 30_000

interface KindRunTimes {
  /** Start times of the runs that have not ended. */
  readonly running: Set<number>
  longestMs: number | null
  /** Longest run time of the window before. */
  previousLongestMs: number | null
  windowBeganAtMs: number
}

/** How long requests of each kind have run lately, from the moment at which they were first sent to the end of their response. Times are on the monotonic clock. */
export class RunTimes {
  readonly #kinds = new Map<string, KindRunTimes>()

  /** Records the start of a run; kind and time identify it. */
  recordStart (kind: string, startedAtMs: number): void {
    this.#getOrCreate(kind).running.add(startedAtMs)
  }

  /** Records the end of a run; one that is not complete says nothing about how long others take. */
  recordEnd (kind: string, startedAtMs: number, isComplete: boolean): void {
    const times = this.#getOrCreate(kind)
    if (!times.running.delete(startedAtMs) || !isComplete) return
    advanceWindow(times)
    times.longestMs = Math.max(times.longestMs ?? 0, performance.now() - startedAtMs)
  }

  /** Longest time that a run of the kind has taken lately, or has taken so far, in milliseconds; null if none is known. */
  findLongestMs (kind: string): number | null {
    const times = this.#kinds.get(kind)
    if (times === undefined) return null
    advanceWindow(times)
    const [oldestAtMs] = times.running
    const knownMs = [times.longestMs, times.previousLongestMs, oldestAtMs === undefined ? null : performance.now() - oldestAtMs].filter(ms => ms !== null)
    // A run that has just begun says nothing yet.
    return times.longestMs === null && times.previousLongestMs === null ? null : Math.max(...knownMs)
  }

  #getOrCreate (kind: string): KindRunTimes {
    const existing = this.#kinds.get(kind)
    if (existing !== undefined) return existing
    const created: KindRunTimes = { running: new Set(), longestMs: null, previousLongestMs: null, windowBeganAtMs: performance.now() }
    this.#kinds.set(kind, created)
    return created
  }
}

function advanceWindow (times: KindRunTimes): void {
  const nowMs = performance.now()
  const windows = Math.floor((nowMs - times.windowBeganAtMs) / WINDOW_MS)
  if (windows === 0) return
  times.previousLongestMs = windows === 1 ? times.longestMs : null
  times.longestMs = null
  times.windowBeganAtMs = nowMs
}
