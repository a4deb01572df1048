import type { WaveDecision, WaveEndpoint, WaveGoal, WavePorts } from 'knapweedshunt-fleet'
import type { EndpointName } from 'knapweedshunt-types'
import type { VmRoster } from '../directory/vmRoster.ts'
import type { EndpointBook } from '../endpoints/endpointBook.ts'
import type { ManagementPort } from '../ports/managementPort.ts'
import type { WishedWeights } from '../ports/directoryPort.ts'

/** Age of a wave's notice from which on its endpoints are used again, in milliseconds: its holder is gone. */
const NOTICE_MS = 4_000

/** Share of the time for new weights that counts as over for a version found at a start, as nothing tells when it was named. */
const UNKNOWN_SHARE = 0.5

/** Time after which answers on weights that were replaced are worth less, in milliseconds; stated by the users. */
const CURRENT_MS = 1_500

/** Named versions remembered of one model. */
const MAX_NAMED = 16

/** What the state is made of. */
export interface WeightsParts {
  /** Time after which a version that was replaced is no longer begun on, in milliseconds. */
  readStaleMs (): number
  holder: string
  book: EndpointBook
  roster: VmRoster
  port: ManagementPort
  record (decision: WaveDecision): void
  /** Called when an endpoint is known to run a newer version. */
  onReached (): void
}

/** Weights wished and reached, and the calls by which waves bring endpoints there. */
export class WeightsState {
  readonly #parts: WeightsParts
  readonly #wished = new Map<string, number>()
  /** Versions that this VM saw being named, with the time, newest first. */
  readonly #named = new Map<string, Array<{ version: number, atMs: number }>>()

  constructor (parts: WeightsParts) {
    this.#parts = parts
  }

  /** Takes wished weights; an older version is ignored. `isNew` when they were named just now. Returns whether they are wished now. */
  takeWished ({ model, version }: WishedWeights, isNew: boolean): boolean {
    if ((this.#wished.get(model) ?? 0) >= version) return false
    this.#wished.set(model, version)
    const atMs = performance.now() - (isNew ? 0 : this.#parts.readStaleMs() * UNKNOWN_SHARE)
    this.#named.set(model, [{ version, atMs }, ...this.#named.get(model) ?? []].slice(0, MAX_NAMED))
    return true
  }

  /** Oldest version on which a request may still begin; 0 when any may. */
  findOldest (model: string): number {
    return this.#findNamed(model, this.#parts.readStaleMs())
  }

  /** Oldest version whose answers are worth as much as those of the newest; 0 when any is. */
  findCurrent (model: string): number {
    return this.#findNamed(model, CURRENT_MS)
  }

  /** Newest version named at least so long ago. */
  #findNamed (model: string, ageMs: number): number {
    const sinceMs = performance.now() - ageMs
    return this.#named.get(model)?.find(named => named.atMs <= sinceMs)?.version ?? 0
  }

  /** Version wished for a model; null when none was named. */
  findWished (model: string): number | null {
    return this.#wished.get(model) ?? null
  }

  /** Endpoints that load weights or will next, less those known to have them. */
  listLoading (): Set<EndpointName> {
    const loading = new Set<EndpointName>()
    for (const notice of this.#parts.roster.listWaves()) {
      const heard = this.#parts.roster.findWave(notice.pool)
      if (heard === null || heard.ageMs > NOTICE_MS || (this.findWished(notice.model) ?? 0) > notice.version + 1) continue
      for (const name of notice.loading) if ((this.#parts.book.find(name)?.findVersion(notice.model) ?? 0) < notice.version) loading.add(name)
    }
    return loading
  }

  /** Notes that endpoints run a version. */
  noteReached (endpoints: EndpointName[], model: string, version: number): void {
    let isNew = false
    for (const name of endpoints) if (this.#parts.book.find(name)?.noteVersion(model, version)) isNew = true
    if (isNew) this.#parts.onReached()
  }

  /** Ports of the waves. */
  buildPorts (): WavePorts {
    const { book, roster, port, holder } = this.#parts
    return {
      listEndpoints: () => this.#listEndpoints(),
      listGoals: () => [...this.#wished].map(([model, version]): WaveGoal => ({ model, version })),
      readReport: async (name, timeoutMs) => {
        const entry = book.find(name)?.entry
        const report = entry === undefined ? null : await port.readReport(entry, timeoutMs)
        if (report === null) return null
        const model = entry?.models[0]?.model
        return { version: report.models.find(served => served.model === model)?.version ?? null, isBusy: report.isBusy, ordersTaken: report.ordersTaken, running: report.running }
      },
      sendCommand: async (order, timeoutMs) => {
        const address = book.find(order.endpoint)?.entry.address
        if (address === undefined) return 'refused'
        const result = await port.sendLoadOrder({ ...order, address, holder }, timeoutMs)
        return result.type
      },
      announce: notice => roster.announceWave(notice),
      readNotice: pool => roster.findWave(pool),
      readRank: () => roster.readRank(),
      record: decision => this.#parts.record(decision),
      handleReached: (name, model, version) => this.noteReached([name], model, version)
    }
  }

  #listEndpoints (): WaveEndpoint[] {
    return this.#parts.book.list().filter(record => !record.entry.isDraining && record.missingSinceMs === null).flatMap(({ entry, load, open }) => entry.models.map(({ model, version }) => ({
      endpoint: entry.endpoint,
      incarnation: entry.incarnation,
      pool: entry.pool,
      model,
      version,
      running: load?.running ?? open
    })))
  }
}
