interface Clearing {
  /** Reports and quarantines that the part was cleared from. */
  ids: Set<string>
  atMs: number
  announcedAtMs: number
}

/** Minimum time between two announcements that a part was served, in milliseconds. */
const ANNOUNCE_INTERVAL_MS = 3_000

/** Maximum number of ids for which the clearings of other VMs are held. */
const MAX_IDS = 1_024

/** Which parts were served after which crash reports and quarantines: by requests of this VM, to be published, and of others. */
export class PartClearings {
  readonly #own = new Map<string, Clearing>()
  /** Parts that other VMs cleared, by the ids of reports and quarantines, which may arrive later or again. */
  readonly #receivedParts = new Map<string, Set<string>>()
  /** Quarantines of other VMs, by parts that this VM has served since their first crash. */
  readonly #refutedIds = new Map<string, Set<string>>()

  /** Records that this VM's request was served with a part. Returns whether the other VMs must hear of it: a part that is lost once is rarely lost again, and one in frequent use is served at all VMs. */
  recordOwn (part: string, ids: readonly string[]): boolean {
    const nowMs = performance.now()
    const known = this.#own.get(part)
    const announcedAtMs = known?.announcedAtMs ?? -Infinity
    const isAnnounced = (known !== undefined || ids.length > 1) && nowMs - announcedAtMs >= ANNOUNCE_INTERVAL_MS
    this.#own.delete(part)
    this.#own.set(part, { ids: new Set([...known?.ids ?? [], ...ids]), atMs: nowMs, announcedAtMs: isAnnounced ? nowMs : announcedAtMs })
    return isAnnounced
  }

  /** Lists this VM's clearings, oldest first. */
  listOwn (): Array<{ part: string, ids: string[] }> {
    return [...this.#own].map(([part, { ids }]) => ({ part, ids: [...ids] }))
  }

  /** Records that another VM cleared a part. */
  recordReceived (part: string, id: string): void {
    const parts = this.#receivedParts.get(id) ?? new Set()
    this.#receivedParts.set(id, parts.add(part))
    const [oldest] = this.#receivedParts.keys()
    if (this.#receivedParts.size > MAX_IDS) this.#receivedParts.delete(oldest)
  }

  /** Whether the part was cleared from this report or quarantine, here or by another VM. */
  isCleared (part: string, id: string): boolean {
    return this.#receivedParts.get(id)?.has(part) === true || this.#own.get(part)?.ids.has(id) === true
  }

  /** Records that another VM quarantined a part that this VM has served meanwhile; its clearing is announced with the next request that is served with it. */
  recordRefuted (part: string, id: string): void {
    if (this.#own.get(part)?.ids.has(id) === true) return
    this.#refutedIds.set(part, (this.#refutedIds.get(part) ?? new Set()).add(id))
    const [oldest] = this.#refutedIds.keys()
    if (this.#refutedIds.size > MAX_IDS) this.#refutedIds.delete(oldest)
  }

  /** Returns the quarantines that a request served with the part refutes, each once. */
  takeRefuted (part: string): string[] {
    const ids = [...this.#refutedIds.get(part) ?? []]
    this.#refutedIds.delete(part)
    return ids
  }

  /** Removes this VM's clearings from before a time. */
  removeBefore (clearedAtMs: number): void {
    for (const [part, { atMs }] of this.#own) if (atMs < clearedAtMs) this.#own.delete(part)
  }
}
