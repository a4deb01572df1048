import type { Logger } from 'knapweedshunt-logger'
import type { Platform } from 'knapweedshunt-platform'
import type { ResourceStore } from 'knapweedshunt-resources'
import type { ControlState } from './controlState.ts'

/** Reads the VM list and whatever is newer than the replica. A platform that does not answer changes nothing. */
export async function followPlatform (state: ControlState, platform: Platform, store: ResourceStore, log: Logger): Promise<void> {
  try {
    state.vms.takeList(await platform.listVms())
    const { revision } = state.replica.snapshot
    if (await store.readHead() <= revision) return
    const changes = revision === 0 ? [] : await store.readChangesAfter(revision)
    if (!state.replica.takeChanges(changes)) state.replica.takeSnapshot(await store.readSnapshot())
    log.info('Resources read.', { revision: state.replica.snapshot.revision })
  } catch (error) {
    log.warn('Platform not read.', { reason: (error as Error).message })
  }
}
