import type { EndpointView, VmId } from 'knapweedshunt-types'
import type { KeptEntry, KeyDemand } from '../../src/index.ts'
import type { EngineModel } from '../model/engineModel.ts'
import type { Job } from '../model/job.ts'

/** Where a policy sends a job. */
export interface PolicyChoice {
  engine: number
  importKey: string | null
}

/** One router's policy. */
export interface Policy {
  takeViews (views: EndpointView[]): void
  takeKept (entries: KeptEntry[]): void
  takePeerDemand (vm: VmId, n: number, demands: KeyDemand[]): void
  listHotKeys (): KeyDemand[]
  /** Null if every engine is excluded. */
  choose (job: Job, excluded: number[]): PolicyChoice | null
  noteStart (attempt: string, job: Job, engine: number): void
  noteAnswer (attempt: string, incarnation: string): void
  noteEnd (attempt: string, engine: number, cachedTokens: number | null): void
}

/** What a policy of one router is built from. */
export interface PolicyWorld {
  engines: EngineModel[]
  dataCentre: number
  router: number
  /** Whether all data centres count as near. */
  isNear: boolean
  seed: number
  nowMs (): number
}

/** Name that a view gives an engine. */
export function nameEngine (index: number): string {
  return `engine-${index}`
}

/** Index of a named engine. */
export function readEngine (name: string): number {
  return Number(name.slice('engine-'.length))
}
