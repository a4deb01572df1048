import type { Logger } from 'knapweedshunt-logger'
import { DEFAULT_TABLE_FOLLOWER_OPTIONS, StoreAvailability, TableFollower } from 'knapweedshunt-platform'
import type { TableUpdate } from 'knapweedshunt-platform'
import type { Rng } from 'knapweedshunt-utils'
import type { TableSharing } from '../peers/tableSharing.ts'
import type { DirectoryPort } from '../ports/directoryPort.ts'
import { ROSTER_TABLE } from './rosterRows.ts'
import { ROSTER_POLL_WAIT_MS } from './vmRoster.ts'

/** Time for which the store may hold a long poll of the operator's rows, in milliseconds; twice this time is below the age at which keys are no longer used. */
const RESOURCE_POLL_WAIT_MS = 1_500

/** Time for which the store may hold a long poll of the endpoints, in milliseconds. A connection that went silent is noticed only after it, and until then this VM does not learn that an endpoint leaves. */
export const ENDPOINT_POLL_WAIT_MS = 1_500

/** Pause after a poll that returned changes of endpoints, in milliseconds; far below the time within which a leaving endpoint must get no new requests. */
const ENDPOINT_POLL_PAUSE_MS = 500

/** Pause after a poll that returned changes of the roster, in milliseconds: after a crash each VM writes, and each write would be a poll of each VM. It is shorter than the time that VMs are given to learn of a wave. */
const ROSTER_POLL_PAUSE_MS = 100

/** Number of polls of the roster with changes before such a pause; single changes are learned of at once. */
const ROSTER_POLLS_BEFORE_PAUSE = 6

/** Dependencies of {@link TableFollowers}. */
export interface TableFollowersDependencies {
  sharing: TableSharing
  directoryPort: DirectoryPort
  log: Logger
  rng: Rng
  onResources (update: TableUpdate): void
  onEndpoints (update: TableUpdate): void
  onRoster (update: TableUpdate): void
}

/** Followers of the three tables that a VM reads. */
export class TableFollowers {
  readonly resources: TableFollower
  readonly endpoints: TableFollower
  readonly roster: TableFollower

  constructor ({ sharing, directoryPort, log, rng, onResources, onEndpoints, onRoster }: TableFollowersDependencies) {
    const availability = new StoreAvailability()
    const create = (table: string, waitMs: number, coalescing: { coalesceMs: number, coalesceAfter: number }, onUpdate: (update: TableUpdate) => void) => {
      const handleUpdate = (update: TableUpdate) => {
        sharing.applyUpdate(table, update)
        onUpdate(update)
      }
      const follower = new TableFollower(sharing.feed, { ...DEFAULT_TABLE_FOLLOWER_OPTIONS, ...coalescing, table, waitMs, seed: rng.drawInt(2 ** 30) }, log, handleUpdate, availability)
      sharing.addTable(table, follower)
      return follower
    }
    this.resources = create(directoryPort.resourceTable, RESOURCE_POLL_WAIT_MS, { coalesceMs: 0, coalesceAfter: 0 }, onResources)
    this.endpoints = create(directoryPort.endpointTable, ENDPOINT_POLL_WAIT_MS, { coalesceMs: ENDPOINT_POLL_PAUSE_MS, coalesceAfter: 0 }, onEndpoints)
    this.roster = create(ROSTER_TABLE, ROSTER_POLL_WAIT_MS, { coalesceMs: ROSTER_POLL_PAUSE_MS, coalesceAfter: ROSTER_POLLS_BEFORE_PAUSE }, onRoster)
  }

  /** Follows all tables until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this.resources.run(signal), this.endpoints.run(signal), this.roster.run(signal)])
  }
}
