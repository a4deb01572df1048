import type { EndpointName, FencingToken, Incarnation } from 'knapweedshunt-types'
import type { EndpointEntry, ServedModel } from './endpointEntry.ts'
import type { GatewayPool } from './gatewayConfig.ts'

/** An endpoint's response to a report call. */
export interface EndpointReport {
  /** Incarnation that answered; null if the report or the endpoint's row does not state its start. */
  incarnation: Incarnation | null
  models: ServedModel[]
  /** Whether a command is being carried out. */
  isBusy: boolean
  /** Number of commands accepted since the endpoint started. */
  ordersTaken: number
  running: number
  queued: number
}

/** A command to load weights. */
export interface LoadCommand {
  endpoint: EndpointName
  address: string
  model: string
  version: number
  holder: string
  fencing: FencingToken
  /** Number of commands that the endpoint must have accepted before, else it refuses this one; makes it refuse a delayed duplicate. */
  ordersTaken: number
  /** Whether requests in flight end before the load; else they continue under the new weights. */
  waitsForRequests: boolean
}

/** Outcome of a load command. */
export type LoadCommandResult =
  | { type: 'taken' }
  /** The endpoint already serves these weights. */
  | { type: 'holds' }
  /** Another command is in progress, or others were accepted in between. */
  | { type: 'conflict' }
  | { type: 'refused', status: number }
  /** No response: the command may run now or later. */
  | { type: 'lost' }

/** Number of tokens of one prompt part that a KV store holds after a change. */
export interface StoredPrefixChange {
  salt: string
  /** Id of the prompt part. */
  part: string
  /** 0 when the part is no longer stored. */
  tokens: number
}

/** Changes of the stored prefixes of a KV store, in order. */
export interface KvStoreChanges {
  /** Changes with a restart, which empties the store. */
  incarnation: string
  /** Position from which to poll next. */
  position: number
  /** Whether changes before these are no longer available. */
  hasGap: boolean
  changes: StoredPrefixChange[]
}

/** Result of polling a KV store. */
export type KvStorePollResult =
  | { type: 'changes', changes: KvStoreChanges }
  /** The store answered without its changes: it has too many pollers, or the response cannot be read. */
  | { type: 'withoutChanges' }
  /** The store did not answer. */
  | { type: 'silent' }

/** Management calls of an endpoint. None of the methods throws. */
export interface ManagementPort {
  /** Whether the intended endpoint answers at the address, whatever its status. */
  probe (entry: EndpointEntry, pool: GatewayPool | null, timeoutMs: number): Promise<boolean>
  /** Polls a KV store for changes after a position; null for all that are available. The store may hold the poll for `holdMs` and has `timeoutMs` more to answer. */
  pollKvStore (address: string, position: number | null, holdMs: number, timeoutMs: number): Promise<KvStorePollResult>
  /** Reads an endpoint's report; null when none arrived or another endpoint has the address. */
  readReport (entry: EndpointEntry, timeoutMs: number): Promise<EndpointReport | null>
  sendLoadCommand (command: LoadCommand, timeoutMs: number): Promise<LoadCommandResult>
}
