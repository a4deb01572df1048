import type { ResourceChange, ResourceSnapshot, Revision } from 'knapweedshunt-types'
import { applyOps } from './applyOps.ts'

const KEPT_CHANGES = 200

/** One VM's copy of the resources; its revision only grows and each revision takes effect as a whole. */
export class ResourceReplica {
  #snapshot: ResourceSnapshot = { revision: 0, resources: [] }
  #changes: ResourceChange[] = []

  /** Present resources; never changed in place. */
  get snapshot (): ResourceSnapshot {
    return this.#snapshot
  }

  /** Takes a whole snapshot if it is newer. Returns whether anything changed. */
  takeSnapshot (snapshot: ResourceSnapshot): boolean {
    if (snapshot.revision <= this.#snapshot.revision) return false
    this.#snapshot = snapshot
    this.#changes = []
    return true
  }

  /** Takes the changes that follow on the present revision without a gap. Returns whether anything changed. */
  takeChanges (changes: ResourceChange[]): boolean {
    const before = this.#snapshot.revision
    for (const change of changes) {
      if (change.revision !== this.#snapshot.revision + 1) continue
      this.#snapshot = { revision: change.revision, resources: applyOps(this.#snapshot.resources, change.ops, change.revision) }
      this.#changes.push(change)
    }
    if (this.#changes.length > KEPT_CHANGES) this.#changes = this.#changes.slice(-KEPT_CHANGES)
    return this.#snapshot.revision > before
  }

  /** Changes after a revision, or null when they are no longer all known. */
  listChangesAfter (revision: Revision): ResourceChange[] | null {
    const oldest = this.#snapshot.revision - this.#changes.length
    return revision < oldest ? null : this.#changes.slice(revision - oldest)
  }
}
