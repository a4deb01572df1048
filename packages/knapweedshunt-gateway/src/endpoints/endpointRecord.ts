import type { EndpointEntry } from '../ports/endpointEntry.ts'
import type { ToldLoad } from '../ports/endpointPort.ts'
import { EndpointHealth } from './endpointHealth.ts'

/** Weight of the newest request in the mean of prompt tokens. */
const TOKENS_GAIN = 0.1

/** What this VM knows of one incarnation of an endpoint. */
export class EndpointRecord {
  entry: EndpointEntry
  readonly health = new EndpointHealth()
  /** Own attempts under way. */
  open = 0
  /** When a byte last came from it, by the monotonic clock. */
  heardAtMs = performance.now()
  load: ToldLoad | null = null
  loadAtMs = -Infinity
  /** Prompt tokens that one request of this VM had computed there, a moving mean. */
  meanTokens = 0
  /** Since when the row is missing although the store may only have lost it; null while it is there. */
  missingSinceMs: number | null = null

  constructor (entry: EndpointEntry) {
    this.entry = entry
  }

  /** Version of a model's weights as last heard; null when it does not run the model. */
  findVersion (model: string): number | null {
    return this.entry.models.find(served => served.model === model)?.version ?? null
  }

  /** Notes the load that an answer told. */
  noteLoad (load: ToldLoad): void {
    this.load = load
    this.loadAtMs = performance.now()
  }

  /** Notes the prompt tokens that a request is expected to have computed there. */
  noteTokens (tokens: number): void {
    this.meanTokens += (tokens - this.meanTokens) * TOKENS_GAIN
  }

  /** Notes that the endpoint runs a version, heard before its row said so. */
  noteVersion (model: string, version: number): boolean {
    const known = this.findVersion(model)
    if (known === null || known >= version) return false
    const models = this.entry.models.map(served => served.model === model ? { model, version } : served)
    this.entry = { ...this.entry, models }
    return true
  }
}
