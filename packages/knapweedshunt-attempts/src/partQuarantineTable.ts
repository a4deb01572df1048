import type { PartQuarantine } from './partQuarantine.ts'

/** Maximum number of quarantines held; the one that ends first is evicted. */
const MAX_QUARANTINES = 256

/** Quarantines of prompt parts in force, and the crash reports that those of this VM follow from. */
export class PartQuarantineTable {
  readonly #quarantines = new Map<string, PartQuarantine>()
  /** Ids of reports by the id of the quarantine. */
  readonly #reportIds = new Map<string, ReadonlySet<string>>()

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

  /** Adds a quarantine; `reportIds` names the reports that it follows from, if this VM decided on it. */
  add (quarantine: PartQuarantine, reportIds: ReadonlySet<string>): void {
    const known = this.list()
    this.#quarantines.set(quarantine.id, quarantine)
    this.#reportIds.set(quarantine.id, reportIds)
    if (known.length >= MAX_QUARANTINES) this.remove(known.reduce((first, other) => other.untilMs < first.untilMs ? other : first).id)
  }

  remove (id: string): void {
    this.#quarantines.delete(id)
    this.#reportIds.delete(id)
  }

  /** Removes a part from a quarantine, which holds as long as one of its parts may be the cause. */
  clearPart (id: string, part: string): void {
    const quarantine = this.#quarantines.get(id)
    quarantine?.parts.delete(part)
    if (quarantine?.parts.size === 0) this.remove(id)
  }

  /** Removes the quarantines of a part that follow from a report; returns them. */
  removeByReport (reportId: string, part: string): PartQuarantine[] {
    const affected = this.list().filter(({ id, parts }) => parts.has(part) && this.#reportIds.get(id)?.has(reportId) === true)
    for (const { id } of affected) this.remove(id)
    return affected
  }
}
