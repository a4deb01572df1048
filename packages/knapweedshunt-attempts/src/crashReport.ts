import type { HeldCrash } from './heldCrash.ts'

/** An attempt under which an endpoint crashed, perhaps because of a part of its prompt. Monotonic times, in milliseconds. */
export interface CrashReport extends HeldCrash {
  /** Unique among all VMs. */
  id: string
  startedAtMs: number
  crashedAtMs: number
  /** Parts of the prompt that no endpoint has served since, with the share of recent attempts without the part that the reporting VM had lost. */
  suspectParts: Map<string, number>
  /** Whether this VM publishes the report. */
  isOwn: boolean
}
