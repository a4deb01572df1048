import type { OrganisationName } from 'knapweedshunt-types'
import type { AdmissionRequest, PriorityClassRule } from './admissionTypes.ts'
import { FairQueue } from './fairQueue.ts'
import type { WaitingRequest } from './waitingRequest.ts'

interface ClassQueue {
  rule: PriorityClassRule
  queue: FairQueue
}

/** Rank and ageing of a class that is not declared, such as one deleted while its requests wait. */
const UNKNOWN_CLASS_RULE = { rank: 100, ageingMs: 1_000 }

/**
 * One fair queue per priority class. The class with the lowest rank is served first. A request that has aged past
 * the better classes is served before them, but at most once in `agedStartInterval` starts, so that a flooded class
 * cannot reverse the order.
 */
export class PriorityClassQueues {
  readonly #agedStartInterval: number
  readonly #queues = new Map<string, ClassQueue>()
  #classes = new Map<string, PriorityClassRule>()
  #startsSinceAged = 0

  constructor (agedStartInterval: number) {
    this.#agedStartInterval = agedStartInterval
  }

  /** Waiting requests of all classes. */
  get size (): number {
    let size = 0
    for (const { queue } of this.#queues.values()) size += queue.size
    return size
  }

  /** Replaces the declared classes; also changes the rank and ageing of requests that already wait. */
  setClasses (classes: Map<string, PriorityClassRule>): void {
    this.#classes = classes
    for (const entry of this.#queues.values()) entry.rule = this.#findRule(entry.rule.name)
  }

  /** Adds a request at the end of its organisation's queue in its class. */
  enqueue (waiting: WaitingRequest): void {
    this.#getOrCreateQueue(waiting.request.priorityClass).queue.enqueue(waiting)
  }

  /** Removes a waiting request; false when it is not queued. */
  remove (request: AdmissionRequest): boolean {
    return this.#queues.get(request.priorityClass)?.queue.remove(request) ?? false
  }

  /** Whether the request is queued. */
  has (request: AdmissionRequest): boolean {
    return this.#queues.get(request.priorityClass)?.queue.has(request) ?? false
  }

  /** Removes and returns the next request to start; undefined when none waits. */
  dequeue (nowMs: number): WaitingRequest | undefined {
    const waiting = this.#listNonEmptyQueues()
    if (waiting.length === 0) return undefined
    const aged = this.#findAgedQueue(waiting, nowMs)
    this.#startsSinceAged = aged === undefined ? this.#startsSinceAged + 1 : 0
    return (aged ?? waiting[0]).queue.dequeue()
  }

  /** Counts the waiting requests of an organisation in all classes. */
  countByOrganisation (organisation: OrganisationName): number {
    let count = 0
    for (const { queue } of this.#queues.values()) count += queue.countByOrganisation(organisation)
    return count
  }

  /** Estimates how many waiting requests would start before a new one of the organisation and class. */
  countAhead (organisation: OrganisationName, priorityClass: string): number {
    const own = this.#getOrCreateQueue(priorityClass)
    let ahead = 0
    for (const { rule, queue } of this.#queues.values()) if (rule.rank < own.rule.rank) ahead += queue.size
    const fairShare = (own.queue.countByOrganisation(organisation) + 1) * Math.max(1, own.queue.flowCount)
    return ahead + Math.min(own.queue.size, fairShare)
  }

  #findAgedQueue (waiting: ClassQueue[], nowMs: number): ClassQueue | undefined {
    if (waiting.length < 2 || this.#startsSinceAged + 1 < this.#agedStartInterval) return undefined
    const bestRank = waiting[0].rule.rank
    return waiting.slice(1).find(({ rule, queue }) => {
      const waitedMs = nowMs - (queue.findOldest()?.offeredAtMs ?? nowMs)
      return waitedMs > rule.ageingMs * (rule.rank - bestRank)
    })
  }

  #listNonEmptyQueues (): ClassQueue[] {
    return [...this.#queues.values()].filter(entry => entry.queue.size > 0).sort((a, b) => a.rule.rank - b.rule.rank)
  }

  #getOrCreateQueue (name: string): ClassQueue {
    const existing = this.#queues.get(name)
    if (existing !== undefined) return existing
    const entry = { rule: this.#findRule(name), queue: new FairQueue() }
    this.#queues.set(name, entry)
    return entry
  }

  #findRule (name: string): PriorityClassRule {
    return this.#classes.get(name) ?? { name, ...UNKNOWN_CLASS_RULE }
  }
}
