import { isDeepStrictEqual } from 'node:util'
import { ROW_NUMBERS, TOKENS_UNIT } from './endpointBoardDelta.ts'
import type { EndpointBoardDelta, EndpointBoot } from './endpointBoardDelta.ts'

/** Load of one endpoint as it travels. */
export interface BoardLoad {
  running: number
  queued: number
  queuedTokens: number
}

interface Stamped<T> {
  version: number
  value: T
}

/** Endpoints of one data centre as one VM tells of them; each part is stamped with the teller's version. */
export class EndpointBoard {
  set = ''
  readonly loads = new Map<number, Stamped<BoardLoad>>()
  readonly boots = new Map<number, Stamped<EndpointBoot>>()
  down: Stamped<number[]> = { version: 0, value: [] }
  dead: Stamped<number[]> = { version: 0, value: [] }
  #setAt = 0

  /** Starts anew for another set of endpoints. */
  openSet (set: string, version: number): void {
    if (set === this.set) return
    this.set = set
    this.#setAt = version
    this.loads.clear()
    this.boots.clear()
    this.down = { version: 0, value: [] }
    this.dead = { version: 0, value: [] }
  }

  /** Records a load when it moved enough to matter to a placement. */
  setLoad (index: number, load: BoardLoad, version: number): void {
    const known = this.loads.get(index)
    if (known && !isMoved(known.value, load)) return
    this.loads.set(index, { version, value: load })
  }

  /** Records an endpoint's start, weights and role. */
  setBoot (boot: EndpointBoot, version: number): void {
    const known = this.boots.get(boot.i)?.value
    if (known !== undefined && isDeepStrictEqual(known, boot)) return
    this.boots.set(boot.i, { version, value: boot })
  }

  /** Forgets an endpoint that this VM polls no longer. */
  release (index: number): void {
    this.loads.delete(index)
    this.boots.delete(index)
  }

  /** Records which endpoints are suspect or dead, and which of them are dead. */
  setDown (down: number[], dead: number[], version: number): void {
    if (down.join() !== this.down.value.join()) this.down = { version, value: down }
    if (dead.join() !== this.dead.value.join()) this.dead = { version, value: dead }
  }

  /** What is newer than one version and not newer than another; undefined when nothing is. */
  buildDelta (after: number, upTo: number): EndpointBoardDelta | undefined {
    const isWanted = (part: Stamped<unknown>) => part.version > after && part.version <= upTo
    const loads = [...this.loads].filter(([, one]) => isWanted(one))
    const boots = [...this.boots.values()].filter(isWanted).map(one => one.value)
    const hasDown = isWanted(this.down)
    const hasDead = isWanted(this.dead)
    if (loads.length + boots.length === 0 && !hasDown && !hasDead) return undefined
    const delta: EndpointBoardDelta = {}
    if (this.#setAt > after) delta.set = this.set
    if (boots.length > 0) delta.boots = boots
    if (hasDown) delta.down = this.down.value
    if (hasDead) delta.dead = this.dead.value
    if (loads.length > 0) delta.rows = loads.flatMap(([index, { value }]) => [index, value.running, value.queued, Math.ceil(value.queuedTokens / TOKENS_UNIT)])
    return delta
  }

  /** Takes what a teller sent. */
  takeDelta (delta: EndpointBoardDelta, version: number): void {
    if (delta.set !== undefined) this.openSet(delta.set, version)
    const { rows = [] } = delta
    for (let at = 0; at < rows.length; at += ROW_NUMBERS) {
      const [index, running, queued, tokens] = rows.slice(at, at + ROW_NUMBERS)
      this.loads.set(index, { version, value: { running, queued, queuedTokens: tokens * TOKENS_UNIT } })
    }
    for (const boot of delta.boots ?? []) this.boots.set(boot.i, { version, value: boot })
    if (delta.down) this.down = { version, value: delta.down }
    if (delta.dead) this.dead = { version, value: delta.dead }
  }
}

/** Share by which a count must move before it is told again. */
const MOVE_SHARE = 0.25

/** Least move of requests and of tokens that is told. */
const MOVE_REQUESTS = 1
const MOVE_TOKENS = 2_048

function isMoved (before: BoardLoad, after: BoardLoad): boolean {
  if (isFar(before.running, after.running, MOVE_REQUESTS) || isFar(before.queued, after.queued, MOVE_REQUESTS)) return true
  return isFar(before.queuedTokens, after.queuedTokens, MOVE_TOKENS)
}

function isFar (before: number, after: number, least: number): boolean {
  return Math.abs(after - before) > Math.max(least, before * MOVE_SHARE)
}
