import type { EndpointName, FencingNumber } from 'knapweedshunt-types'
import type { EndpointEntry, ServedModel } from './endpointEntry.ts'
import type { GatewayPool } from './gatewayConfig.ts'

/** What an endpoint says when it is asked. */
export interface EndpointReport {
  models: ServedModel[]
  /** An order is being carried out. */
  isBusy: boolean
  /** Orders accepted since its start. */
  ordersTaken: number
  running: number
  queued: number
}

/** An order to load weights. */
export interface LoadOrder {
  endpoint: EndpointName
  address: string
  model: string
  version: number
  holder: string
  fencing: FencingNumber
  /** Orders that the endpoint must have taken before; a late copy of the order is refused by it. */
  ordersTaken: number
  /** Requests under way end first; else they go on under the new weights. */
  waitsForRequests: boolean
}

/** What became of an order. */
export type LoadOrderResult =
  | { type: 'taken' }
  /** The endpoint runs these weights already. */
  | { type: 'holds' }
  /** Another order is under way, or others were taken in between. */
  | { type: 'conflict' }
  | { type: 'refused', status: number }
  /** No answer: it may run, now or later. */
  | { type: 'lost' }

/** How much a store of kept prefixes holds now of one part of a prompt. */
export interface KeptChange {
  salt: string
  /** Id of the part. */
  part: string
  /** 0 when it holds nothing of it. */
  tokens: number
}

/** What changed in a store of kept prefixes, in order. */
export interface KeptNews {
  /** Another one after a restart, which empties the store. */
  incarnation: string
  /** From where to ask next. */
  position: number
  /** Changes before these are no longer told. */
  hasGap: boolean
  changes: KeptChange[]
}

/** Answer of a store of kept prefixes. */
export type KeptAnswer =
  | { type: 'news', news: KeptNews }
  /** It lives, but tells nothing now: too many ask, or the answer cannot be read. */
  | { type: 'untold' }
  | { type: 'silent' }

/** Management calls of an endpoint. None of the methods throws. */
export interface ManagementPort {
  /** Whether the endpoint answers at all, and is the one meant. */
  probe (entry: EndpointEntry, pool: GatewayPool | null, timeoutMs: number): Promise<boolean>
  /** Asks a store of kept prefixes what changed after a position, null for all that it still tells. It may hold the question for `holdMs`, and has `timeoutMs` more to answer. */
  pollKeptStore (address: string, position: number | null, holdMs: number, timeoutMs: number): Promise<KeptAnswer>
  /** Null when no report came, or another endpoint has the address. */
  readReport (entry: EndpointEntry, timeoutMs: number): Promise<EndpointReport | null>
  sendLoadOrder (order: LoadOrder, timeoutMs: number): Promise<LoadOrderResult>
}
