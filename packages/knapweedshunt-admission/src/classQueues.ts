import type { OrganisationName } from 'knapweedshunt-types'
import type { AdmissionRequest, ClassWeight } from './admissionTypes.ts'
import { FairQueue } from './fairQueue.ts'
import type { WaitingRequest } from './waitingRequest.ts'

interface ClassQueue {
  weight: ClassWeight
  queue: FairQueue
}

/** Rank and ageing of a class that was deleted while requests of it wait. */
const UNKNOWN_CLASS = { rank: 100, ageingMs: 1_000 }

/**
 * Priority classes over fair queues. The better class goes first; a request that has aged past the better classes
 * goes before them, but takes at most one start in `agedEvery`, so that a flooded class never turns the order round.
 */
export class ClassQueues {
  readonly #agedEvery: number
  readonly #queues = new Map<string, ClassQueue>()
  #classes = new Map<string, ClassWeight>()
  #sinceAged = 0

  constructor (agedEvery: number) {
    this.#agedEvery = agedEvery
  }

  /** Waiting requests of all classes. */
  get size (): number {
    let size = 0
    for (const { queue } of this.#queues.values()) size += queue.size
    return size
  }

  /** Takes the declared classes. */
  setClasses (classes: Map<string, ClassWeight>): void {
    this.#classes = classes
    for (const entry of this.#queues.values()) entry.weight = this.#findClass(entry.weight.name)
  }

  /** Adds a request. */
  add (waiting: WaitingRequest): void {
    this.#open(waiting.request.priorityClass).queue.add(waiting)
  }

  /** Removes a request; false when it does not wait. */
  cancel (request: AdmissionRequest): boolean {
    return this.#queues.get(request.priorityClass)?.queue.cancel(request) ?? false
  }

  /** Whether the request waits. */
  has (request: AdmissionRequest): boolean {
    return this.#queues.get(request.priorityClass)?.queue.has(request) ?? false
  }

  /** Takes the next request. */
  take (nowMs: number): WaitingRequest | undefined {
    const waiting = this.#listWaiting()
    if (waiting.length === 0) return undefined
    const aged = this.#findAged(waiting, nowMs)
    this.#sinceAged = aged === undefined ? this.#sinceAged + 1 : 0
    return (aged ?? waiting[0]).queue.take()
  }

  /** Waiting requests of one organisation. */
  countOf (organisation: OrganisationName): number {
    let count = 0
    for (const { queue } of this.#queues.values()) count += queue.countOf(organisation)
    return count
  }

  /** Requests that are likely to start before a new one of the organisation and class. */
  countAhead (organisation: OrganisationName, priorityClass: string): number {
    const own = this.#open(priorityClass)
    let ahead = 0
    for (const { weight, queue } of this.#queues.values()) if (weight.rank < own.weight.rank) ahead += queue.size
    const fairShare = (own.queue.countOf(organisation) + 1) * Math.max(1, own.queue.flows)
    return ahead + Math.min(own.queue.size, fairShare)
  }

  #findAged (waiting: ClassQueue[], nowMs: number): ClassQueue | undefined {
    if (waiting.length < 2 || this.#sinceAged + 1 < this.#agedEvery) return undefined
    const bestRank = waiting[0].weight.rank
    return waiting.slice(1).find(({ weight, queue }) => {
      const waitedMs = nowMs - (queue.findOldest()?.offeredAtMs ?? nowMs)
      return waitedMs > weight.ageingMs * (weight.rank - bestRank)
    })
  }

  #listWaiting (): ClassQueue[] {
    return [...this.#queues.values()].filter(entry => entry.queue.size > 0).sort((a, b) => a.weight.rank - b.weight.rank)
  }

  #open (name: string): ClassQueue {
    const known = this.#queues.get(name)
    if (known !== undefined) return known
    const entry = { weight: this.#findClass(name), queue: new FairQueue() }
    this.#queues.set(name, entry)
    return entry
  }

  #findClass (name: string): ClassWeight {
    return this.#classes.get(name) ?? { name, ...UNKNOWN_CLASS }
  }
}
