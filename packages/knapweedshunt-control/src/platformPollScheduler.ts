import { rankVms } from 'knapweedshunt-membership'
import type { VmMembership } from 'knapweedshunt-membership'
import type { Rng } from 'knapweedshunt-utils'
import type { NodeOptions } from './nodeOptions.ts'

/** A look at the platform that is due. */
export interface PlatformLook {
  withList: boolean
}

const JITTER = 0.2
const LOST_AFTER_MS = 6_000

/** When this VM looks at the platform: always while it starts, later when it is among the few ranked VMs that follow it. Opens nothing. */
export class PlatformPlan {
  readonly #options: NodeOptions
  readonly #rng: Rng
  #nextAtMs = 0
  #nextListAtMs = 0
  #askedAtMs: number | null = null

  constructor (options: NodeOptions, rng: Rng) {
    this.#options = options
    this.#rng = rng
  }

  /** The look that is due now, if any. */
  find (vms: VmMembership, isStarting: boolean): PlatformLook | null {
    const now = performance.now()
    const isBusy = this.#askedAtMs !== null && now - this.#askedAtMs < LOST_AFTER_MS
    if (isBusy || now < this.#nextAtMs || !(isStarting || this.#isChosen(vms))) return null
    const withList = isStarting || now >= this.#nextListAtMs
    if (withList) this.#nextListAtMs = now + this.#draw(this.#options.listMs)
    this.#askedAtMs = now
    this.#nextAtMs = now + this.#draw(this.#options.platformMs)
    return { withList }
  }

  /** Makes the next look due at once. */
  wake (): void {
    this.#nextAtMs = 0
  }

  /** Takes that a look ended. */
  takeEnd (isAnswered: boolean): void {
    this.#askedAtMs = null
    if (!isAnswered) this.#nextAtMs = performance.now() + this.#draw(this.#options.platformMs)
  }

  /** A VM that the platform does not answer hands over, but looks again from time to time. */
  #isChosen (vms: VmMembership): boolean {
    const { vm } = vms.self.view
    if (!vms.self.isPlatformReachable) return this.#isRetryDue()
    return rankVms('platform', vms.listPlatformPollers()).indexOf(vm) < this.#options.pollers
  }

  #isRetryDue (): boolean {
    this.#nextAtMs = performance.now() + this.#draw(this.#options.platformRetryMs - this.#options.platformMs)
    return true
  }

  #draw (ms: number): number {
    return ms * (1 - JITTER + 2 * JITTER * this.#rng.float())
  }
}
