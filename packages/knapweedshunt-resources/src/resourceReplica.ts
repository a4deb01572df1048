import type { ResourceChange, ResourceSnapshot, Revision } from 'knapweedshunt-types'
import { applyOps } from './applyOps.ts'

const MAX_RETAINED_CHANGES = 200

/** One VM's replica of the resources. Its revision never decreases, and each revision is applied atomically. */
export class ResourceReplica {
  #snapshot: ResourceSnapshot = { revision: 0, resources: [] }
  #changes: ResourceChange[] = []

  /** Current resources. The object is immutable: each new revision replaces it. */
  get snapshot (): ResourceSnapshot {
    return this.#snapshot
  }

  /** Replaces the resources by a newer snapshot; ignores one that is not newer. Returns whether the revision changed. */
  applySnapshot (snapshot: ResourceSnapshot): boolean {
    if (snapshot.revision <= this.#snapshot.revision) return false
    this.#snapshot = snapshot
    this.#changes = []
    return true
  }

  /** Applies the changes that follow the current revision without a gap and ignores all others. Returns whether the revision changed. */
  applyChanges (changes: ResourceChange[]): boolean {
    const previousRevision = this.#snapshot.revision
    for (const change of changes) {
      if (change.revision !== this.#snapshot.revision + 1) continue
      this.#snapshot = { revision: change.revision, resources: applyOps(this.#snapshot.resources, change.ops, change.revision) }
      this.#changes.push(change)
    }
    if (this.#changes.length > MAX_RETAINED_CHANGES) this.#changes = this.#changes.slice(-MAX_RETAINED_CHANGES)
    return this.#snapshot.revision > previousRevision
  }

  /** Returns the changes after a revision, or null when some of them are no longer retained. */
  listChangesAfter (revision: Revision): ResourceChange[] | null {
    const baseRevision = this.#snapshot.revision - this.#changes.length
    return revision < baseRevision ? null : this.#changes.slice(revision - baseRevision)
  }
}
