import type { EndpointName } from 'knapweedshunt-types'
import type { EndPeriod } from './endPeriod.ts'

/** An attempt under which an endpoint crashed, perhaps because of a part of its prompt. Monotonic times, in milliseconds. */
export interface CrashReport {
  /** Unique among all VMs. */
  id: string
  /** Incarnation of the endpoint. */
  endpoint: EndpointName
  startedAtMs: number
  crashedAtMs: number
  /** Period in which the endpoint's process ended if it did. */
  endPeriod: EndPeriod
  /** Parts of the prompt that no endpoint has served since, with the share of recent attempts without the part that the reporting VM had lost. */
  suspectParts: Map<string, number>
  /** Whether this VM publishes the report. */
  isOwn: boolean
}
