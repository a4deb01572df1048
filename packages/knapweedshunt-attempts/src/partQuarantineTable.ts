import type { PartQuarantine } from './partQuarantine.ts'

/** Maximum number of quarantines held; the one that ends first is evicted. */
const MAX_QUARANTINES = 256

/** Quarantines of prompt parts in force. */
export class PartQuarantineTable {
  readonly #quarantines = new Map<string, PartQuarantine>()

  /** Whether a quarantine with this id is held. */
  has (id: string): boolean {
    return this.#quarantines.has(id)
  }

  /** Lists the quarantines in force and removes the others. */
  list (): PartQuarantine[] {
    const nowMs = performance.now()
    for (const { id, untilMs } of this.#quarantines.values()) if (untilMs <= nowMs) this.remove(id)
    return [...this.#quarantines.values()]
  }

  add (quarantine: PartQuarantine): void {
    const known = this.list()
    this.#quarantines.set(quarantine.id, quarantine)
    if (known.length >= MAX_QUARANTINES) this.remove(known.reduce((first, other) => other.untilMs < first.untilMs ? other : first).id)
  }

  remove (id: string): void {
    this.#quarantines.delete(id)
  }

  /** Removes a part from a quarantine, which holds as long as one of its parts may be the cause. */
  clearPart (id: string, part: string): void {
    const quarantine = this.#quarantines.get(id)
    quarantine?.parts.delete(part)
    if (quarantine?.parts.size === 0) this.remove(id)
  }

  /** Removes the quarantines of a part that follow from a crash; returns them. */
  removeByCrash (crashId: string, part: string): PartQuarantine[] {
    const affected = this.list().filter(({ parts, crashes }) => parts.has(part) && crashes.some(({ id }) => id === crashId))
    for (const { id } of affected) this.remove(id)
    return affected
  }
}
