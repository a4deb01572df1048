import { isDeepStrictEqual } from 'node:util'
import { ROW_LENGTH, TOKENS_PER_UNIT } from './endpointStatusDelta.ts'
import type { EndpointStatusDelta, EndpointInfo } from './endpointStatusDelta.ts'

/** Load of one endpoint as exchanged between VMs. */
export interface ReportedLoad {
  running: number
  queued: number
  queuedTokens: number
}

interface Versioned<T> {
  version: number
  value: T
}

/** Endpoint states of one data centre as one VM reports them; each part carries the reporting VM's version at its last change. */
export class EndpointStatusTable {
  endpointSetHash = ''
  readonly loads = new Map<number, Versioned<ReportedLoad>>()
  readonly infos = new Map<number, Versioned<EndpointInfo>>()
  down: Versioned<number[]> = { version: 0, value: [] }
  dead: Versioned<number[]> = { version: 0, value: [] }
  lost: Versioned<number[]> = { version: 0, value: [] }
  /** Null at a VM of an earlier build. */
  extra: Versioned<number[] | null> = { version: 0, value: null }
  #endpointSetHashVersion = 0

  /** Clears the table when the set of endpoints changes, since indexes refer to the sorted names of the set. */
  resetForSet (endpointSetHash: string, version: number): void {
    if (endpointSetHash === this.endpointSetHash) return
    this.endpointSetHash = endpointSetHash
    this.#endpointSetHashVersion = version
    this.loads.clear()
    this.infos.clear()
    this.down = { version: 0, value: [] }
    this.dead = { version: 0, value: [] }
    this.lost = { version: 0, value: [] }
    this.extra = { version: 0, value: null }
  }

  /** Whether the reporting VM has a report of the endpoint and does not consider it suspect or dead. */
  isReached (index: number): boolean {
    return this.infos.has(index) && !this.down.value.includes(index)
  }

  /** Whether the reporting VM polls the endpoint in vain for as long as a dead one. */
  isUnanswered (index: number): boolean {
    return this.dead.value.includes(index) || this.lost.value.includes(index)
  }

  /** Records a load if it changed enough to affect placement. */
  updateLoad (index: number, load: ReportedLoad, version: number): void {
    const known = this.loads.get(index)
    if (known && !isSignificantChange(known.value, load)) return
    this.loads.set(index, { version, value: load })
  }

  /** Records an endpoint's incarnation, weights and role. */
  updateInfo (info: EndpointInfo, version: number): void {
    const known = this.infos.get(info.i)?.value
    if (known !== undefined && isDeepStrictEqual(known, info)) return
    this.infos.set(info.i, { version, value: info })
  }

  /** Removes an endpoint that the reporting VM no longer polls. */
  removeEndpoint (index: number): void {
    this.loads.delete(index)
    this.infos.delete(index)
  }

  /** Records which endpoints answer the VM besides those for which it ranks first. */
  updateExtra (extra: number[], version: number): void {
    if (extra.join() !== this.extra.value?.join()) this.extra = { version, value: extra }
  }

  /** Records which endpoints are suspect or dead, which of those are dead, and which may be dead or out of this VM's reach. Returns whether that changed. */
  updateDown ({ down, dead, lost }: { down: number[], dead: number[], lost: number[] }, version: number): boolean {
    const { down: formerDown, dead: formerDead, lost: formerLost } = this
    if (lost.join() !== this.lost.value.join()) this.lost = { version, value: lost }
    if (down.join() !== this.down.value.join()) this.down = { version, value: down }
    if (dead.join() !== this.dead.value.join()) this.dead = { version, value: dead }
    return this.down !== formerDown || this.dead !== formerDead || this.lost !== formerLost
  }

  /** Builds the parts with a version above `afterVersion` and up to `maxVersion`; undefined when there are none. */
  buildDelta (afterVersion: number, maxVersion: number): EndpointStatusDelta | undefined {
    const isInRange = (part: Versioned<unknown>) => part.version > afterVersion && part.version <= maxVersion
    const loads = [...this.loads].filter(([, one]) => isInRange(one))
    const infos = [...this.infos.values()].filter(isInRange).map(one => one.value)
    const hasDown = isInRange(this.down)
    const hasDead = isInRange(this.dead)
    const hasLost = isInRange(this.lost)
    const hasExtra = this.extra.value !== null && isInRange(this.extra)
    if (loads.length + infos.length === 0 && !hasDown && !hasDead && !hasLost && !hasExtra) return undefined
    const delta: EndpointStatusDelta = {}
    if (this.#endpointSetHashVersion > afterVersion) delta.set = this.endpointSetHash
    if (infos.length > 0) delta.boots = infos
    if (hasDown) delta.down = this.down.value
    if (hasDead) delta.dead = this.dead.value
    if (hasLost) delta.lost = this.lost.value
    if (hasExtra) delta.extra = this.extra.value ?? []
    if (loads.length > 0) delta.rows = loads.flatMap(([index, { value }]) => [index, value.running, value.queued, Math.ceil(value.queuedTokens / TOKENS_PER_UNIT)])
    return delta
  }

  /** Applies a delta that the reporting VM sent at a version. */
  applyDelta (delta: EndpointStatusDelta, version: number): void {
    if (delta.set !== undefined) this.resetForSet(delta.set, version)
    const { rows = [] } = delta
    for (let offset = 0; offset < rows.length; offset += ROW_LENGTH) {
      const [index, running, queued, tokens] = rows.slice(offset, offset + ROW_LENGTH)
      this.loads.set(index, { version, value: { running, queued, queuedTokens: tokens * TOKENS_PER_UNIT } })
    }
    for (const info of delta.boots ?? []) this.infos.set(info.i, { version, value: info })
    if (delta.down) this.down = { version, value: delta.down }
    if (delta.dead) this.dead = { version, value: delta.dead }
    if (delta.lost) this.lost = { version, value: delta.lost }
    if (delta.extra) this.extra = { version, value: delta.extra }
  }
}

/** Relative change of a count above which it is sent again. */
const MIN_CHANGE_RATIO = 0.25

/** Absolute changes of requests and tokens up to which a count is not sent again. */
const MIN_CHANGE_REQUESTS = 1
const MIN_CHANGE_TOKENS = 2_048

function isSignificantChange (before: ReportedLoad, after: ReportedLoad): boolean {
  if (isAboveThreshold(before.running, after.running, MIN_CHANGE_REQUESTS) || isAboveThreshold(before.queued, after.queued, MIN_CHANGE_REQUESTS)) return true
  return isAboveThreshold(before.queuedTokens, after.queuedTokens, MIN_CHANGE_TOKENS)
}

function isAboveThreshold (before: number, after: number, minChange: number): boolean {
  return Math.abs(after - before) > Math.max(minChange, before * MIN_CHANGE_RATIO)
}
