import type { EndpointView, VmId } from 'knapweedshunt-types'
import type { KeyDemand, KvStoreEntry } from '../../src/index.ts'
import type { EngineModel } from '../model/engineModel.ts'
import type { Job } from '../model/job.ts'

/** Engine that a policy selects for a job, and the level key to import there, null for none. */
export interface PolicyChoice {
  engine: number
  importKey: string | null
}

/** Policy of one router. */
export interface Policy {
  updateViews (views: EndpointView[]): void
  updateKvStore (entries: KvStoreEntry[]): void
  updatePeerDemand (vm: VmId, n: number, demands: KeyDemand[]): void
  listHotKeys (): KeyDemand[]
  /** Null if every engine is excluded. */
  choose (job: Job, excluded: number[]): PolicyChoice | null
  recordStart (attempt: string, job: Job, engine: number): void
  recordAnswer (attempt: string, incarnation: string): void
  recordEnd (attempt: string, engine: number, cachedTokens: number | null): void
}

/** Environment of the policy of one router. */
export interface PolicyContext {
  engines: EngineModel[]
  dataCentre: number
  router: number
  /** Whether all data centres count as near. */
  isNear: boolean
  seed: number
  nowMs (): number
}

/** Formats the endpoint name of an engine, as in views. */
export function formatEngineName (index: number): string {
  return `engine-${index}`
}

/** Parses the index of an engine from its endpoint name. */
export function parseEngineIndex (name: string): number {
  return Number(name.slice('engine-'.length))
}
