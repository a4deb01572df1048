import type { EndpointName } from 'knapweedshunt-types'

/** Time that bytes may have been on their way after the process that sent them had ended, in milliseconds. */
export const MAX_IN_FLIGHT_MS = 150

/** Maximum number of incarnations held; those whose lifespans were joined longest ago are evicted. */
const MAX_INCARNATIONS = 4_096

/** Maximum number of lifespans held for an incarnation; the oldest is dropped first. */
const MAX_LIFESPANS = 16

/** Period in which a process was alive without interruption. Monotonic times, in milliseconds. */
interface Lifespan {
  fromMs: number
  untilMs: number
}

/**
 * Periods in which the processes behind incarnations of endpoints were alive without interruption. A connection belongs to
 * one process, so bytes on it show that the process lived since the connection was opened, whatever other connections have
 * ended meanwhile. An endpoint that restarts under its incarnation's name begins another lifespan.
 */
export class EndpointLifespans {
  readonly #lifespans = new Map<EndpointName, Lifespan[]>()

  /** Records that bytes arrived now on a connection that was opened at a monotonic time. */
  recordReceived (endpoint: EndpointName, openedAtMs: number): void {
    const untilMs = performance.now() - MAX_IN_FLIGHT_MS
    const latest = this.#lifespans.get(endpoint)?.at(-1)
    // Nearly all bytes arrive on connections that were opened within the latest lifespan.
    if (latest !== undefined && openedAtMs >= latest.fromMs && openedAtMs <= latest.untilMs) latest.untilMs = Math.max(latest.untilMs, untilMs)
    else this.recordAlive(endpoint, openedAtMs, untilMs)
  }

  /** Records that one process of the incarnation lived through a period. */
  recordAlive (endpoint: EndpointName, fromMs: number, untilMs: number): void {
    if (untilMs <= fromMs) return
    const known = this.#lifespans.get(endpoint) ?? []
    const joined = { fromMs, untilMs }
    const others = known.filter(lifespan => {
      if (lifespan.untilMs < joined.fromMs || lifespan.fromMs > joined.untilMs) return true
      joined.fromMs = Math.min(joined.fromMs, lifespan.fromMs)
      joined.untilMs = Math.max(joined.untilMs, lifespan.untilMs)
      return false
    })
    this.#lifespans.delete(endpoint)
    this.#lifespans.set(endpoint, [...others, joined].slice(-MAX_LIFESPANS))
    const [oldest] = this.#lifespans.keys()
    if (this.#lifespans.size > MAX_INCARNATIONS) this.#lifespans.delete(oldest)
  }

  /** Whether one process of the incarnation is known to have lived through the whole period. */
  hasLivedThrough (endpoint: EndpointName, fromMs: number, untilMs: number): boolean {
    return this.#lifespans.get(endpoint)?.some(lifespan => lifespan.fromMs <= fromMs && lifespan.untilMs >= untilMs) ?? false
  }
}
