import type { Logger } from 'knapweedshunt-logger'
import { sleep } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import type { PromptPart } from '../ports/callerCall.ts'
import type { KeptStore } from '../ports/gatewayConfig.ts'
import type { ManagementPort } from '../ports/managementPort.ts'
import { KeptContents } from './keptContents.ts'

/** How long the store may hold a question, in milliseconds; it allows one second. */
const HOLD_MS = 1_000

/** Longest wait for its answer beyond that, and pause after a failed one, in milliseconds. */
const ANSWER_MS = 300

/** Time without a prompt after which the store is not asked, in milliseconds. */
const IDLE_MS = 3_000

/** What the watch is made of. */
export interface KeptParts {
  port: ManagementPort
  log: Logger
  findStore (): KeptStore | null
}

/** Watches the store of kept prefixes: an endpoint that asks a dead one waits for long, and what it holds need not be saved again. */
export class KeptPrefixes {
  readonly #parts: KeptParts
  readonly #contents = new KeptContents()
  #isUp = true
  #usedAtMs = -Infinity

  constructor (parts: KeptParts) {
    this.#parts = parts
  }

  /** Address of the store; null without one that answers. */
  findAddress (): string | null {
    this.#usedAtMs = performance.now()
    return this.#isUp ? this.#parts.findStore()?.address ?? null : null
  }

  /** Whether the store is known to hold all of these parts under a salt. */
  holds (salt: string, parts: readonly PromptPart[]): boolean {
    return this.#contents.holds(salt, parts)
  }

  /** Asks the store while prompts come, until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const store = this.#parts.findStore()
      const startedAtMs = performance.now()
      if (store === null || startedAtMs - this.#usedAtMs > IDLE_MS) {
        this.#contents.clear()
        await sleep(ANSWER_MS, signal)
        continue
      }
      const isUp = await this.#ask(store)
      if (isUp !== this.#isUp) this.#parts.log.info(isUp ? 'Kept prefixes available.' : 'Kept prefixes lost.', { address: store.address })
      this.#isUp = isUp
      const restMs = isUp ? HOLD_MS - (performance.now() - startedAtMs) : ANSWER_MS
      await sleep(Math.max(0, restMs), signal)
    }
  }

  /** Asks for news; false when the store does not answer. */
  async #ask ({ address }: KeptStore): Promise<boolean> {
    const answer = await this.#parts.port.pollKeptStore(address, this.#contents.position, HOLD_MS, ANSWER_MS)
    return match(answer)
      .with({ type: 'news' }, ({ news }) => {
        this.#contents.take(news)
        return true
      })
      .with({ type: 'untold' }, () => {
        this.#contents.clear()
        return true
      })
      .with({ type: 'silent' }, () => {
        this.#contents.clear()
        return false
      })
      .exhaustive()
  }
}
