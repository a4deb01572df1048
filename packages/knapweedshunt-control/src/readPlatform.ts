import type { Platform } from 'knapweedshunt-platform'
import type { ResourceStore } from 'knapweedshunt-resources'
import type { Revision } from 'knapweedshunt-types'
import type { PlatformRead } from './controlEvents.ts'

/** Reads the platform's head revision and what is newer than `after`: the changes, or a whole snapshot where the changes are not available; with `withList` also the VM list. Throws PlatformError. */
export async function readPlatform (platform: Platform, store: ResourceStore, after: Revision, withList: boolean): Promise<PlatformRead> {
  const list = withList ? await platform.listVms() : null
  const head = await store.readHead()
  if (head <= after) return { revision: head, changes: null, snapshot: null, vmList: list }
  const changes = after === 0 ? null : await store.readChangesAfter(after)
  if (changes !== null && changes.length > 0) return { revision: changes.at(-1)!.revision, changes, snapshot: null, vmList: list }
  const snapshot = await store.readSnapshot()
  return { revision: snapshot.revision, changes: null, snapshot, vmList: list }
}
