import type { Logger } from 'knapweedshunt-logger'
import { sleep } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { KeptStore } from '../ports/gatewayConfig.ts'
import type { ManagementPort } from '../ports/managementPort.ts'

/** Share of the store's link that saves may fill; the rest is for what is brought from it, which requests wait for. */
const SAVE_LINK_SHARE = 0.7

/** Time constant of the measured demand, in milliseconds. */
const DEMAND_MS = 3_000

/** How long the store may hold a question, in milliseconds; it allows one second. */
const HOLD_MS = 1_000

/** Longest wait for its answer beyond that, and pause after a failed one, in milliseconds. */
const ANSWER_MS = 300

/** Time without a prompt after which the store is not asked, in milliseconds. */
const IDLE_MS = 3_000

const BITS_PER_BYTE = 8
const BITS_PER_MEGABIT = 1e6
const MS_PER_SECOND = 1_000

/** What the keeper is made of. */
export interface KeptParts {
  port: ManagementPort
  log: Logger
  rng: Rng
  findStore (): KeptStore | null
  countVms (): number
}

/** Decides which prompts are saved to the store of kept prefixes, and whether it can be read. */
export class KeptPrefixes {
  readonly #parts: KeptParts
  #isUp = true
  #tokensPerMs = 0
  #atMs = performance.now()

  constructor (parts: KeptParts) {
    this.#parts = parts
  }

  /** Address to read from; null without a store that answers. */
  findSource (): string | null {
    return this.#isUp ? this.#parts.findStore()?.address ?? null : null
  }

  /** Address to save a prompt's parts to, null when its link is needed for others. */
  chooseTarget (tokens: number, tokenBytes: number): string | null {
    const nowMs = performance.now()
    this.#tokensPerMs = this.#tokensPerMs * Math.exp((this.#atMs - nowMs) / DEMAND_MS) + tokens / DEMAND_MS
    this.#atMs = nowMs
    const store = this.#parts.findStore()
    if (store === null || !this.#isUp) return null
    const demandBytesPerS = this.#tokensPerMs * MS_PER_SECOND * this.#parts.countVms() * tokenBytes
    const linkBytesPerS = store.linkMbps * BITS_PER_MEGABIT / BITS_PER_BYTE
    return this.#parts.rng.float() < SAVE_LINK_SHARE * linkBytesPerS / demandBytesPerS ? store.address : null
  }

  /** Asks the store whether it lives while prompts come, until the signal aborts: an endpoint that asks a dead one waits for long. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const store = this.#parts.findStore()
      const isIdle = performance.now() - this.#atMs > IDLE_MS
      if (store === null || isIdle) {
        await sleep(ANSWER_MS, signal)
        continue
      }
      const startedAtMs = performance.now()
      const isUp = await this.#parts.port.holdKeptStore(store.address, HOLD_MS, ANSWER_MS)
      if (isUp !== this.#isUp) this.#parts.log.info(isUp ? 'Kept prefixes available.' : 'Kept prefixes lost.', { address: store.address })
      this.#isUp = isUp
      const restMs = isUp ? HOLD_MS - (performance.now() - startedAtMs) : ANSWER_MS
      await sleep(Math.max(0, restMs), signal)
    }
  }
}
