import { computeUsageCapacity } from 'knapweedshunt-admission'
import type { DataCentreId, OrganisationName, VmId } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { GatewayOrganisation, UsageLimit } from '../ports/gatewayConfig.ts'
import { AccountantRanking, findUsageGroup } from './accountantRanking.ts'
import type { Accountant } from './accountantRanking.ts'
import { UsageAccountant } from './usageAccountant.ts'
import { UsageAsker } from './usageAsker.ts'
import { canEverAdmit, UsageLedger } from './usageLedger.ts'
import type { LimitedOrganisation } from './usageLedger.ts'
import { collectParamsSchema, exchangeParamsSchema } from './usageMessages.ts'
import type { CollectResult } from './usageMessages.ts'

const MS_PER_SECOND = 1_000

/** Time to the next units up to which a request waits for them instead of being refused, in milliseconds. */
const MAX_WAIT_MS = 60

/** Longest time for which a VM refuses requests by itself after its accountant refused one, in milliseconds. */
const MAX_REFUSAL_MS = 500

/** Part of the time in which the limit fills up for which a VM refuses requests by itself. */
const REFUSAL_FILL = 0.4

/** Least mean delay for callers that are refused without asking, in milliseconds. */
const MIN_SPREAD_MS = 200

/** Time after a refusal for which the accountant decides on all requests of the organisation, in milliseconds. */
const SHORT_MS = 2_000

/** Time after which a caller may return if no accountant answered, in milliseconds. */
const UNANSWERED_WAIT_MS = 1_000

/** Why a request was refused: the accountant had no room, did not answer, or refused another one a moment ago; or the limit never admits so much. */
export type UsageRefusal = 'noRoom' | 'unanswered' | 'refusedBefore' | 'tooLarge'

/** Whether a request is within the limit of its organisation; `waitMs` is null if it never will be. */
export type UsageAdmission =
  /** `taken` is null if the organisation has no limit. */
  | { type: 'admitted', taken: number | null }
  | { type: 'refused', refusal: UsageRefusal, accountant: VmId, waitMs: number | null }

/** Dependencies of {@link UsageLimits}. */
export interface UsageLimitsDependencies {
  vm: VmId
  dataCentre: DataCentreId
  /** Changes with each start of the VM. */
  incarnation: string
  /** Lists the VMs that may be running, including this one; empty while they are not known. The same array until they change. */
  listVms (): readonly VmId[]
  /** Lists those of them that can be accountants. */
  listAccountants (): Accountant[]
  /** Calls a method of another VM. Throws an error when it does not answer. */
  call (vm: VmId, method: string, params: unknown): Promise<unknown>
  /** Adds jitter to a delay: returns 50 to 150 % of the mean, in milliseconds. */
  randomizeDelayMs (meanMs: number): number
  onFailed (accountant: VmId, reason: string): void
}

/** Limits of what organisations use, over all VMs together. */
export class UsageLimits {
  readonly #dependencies: UsageLimitsDependencies
  readonly #ledger = new UsageLedger()
  readonly #ranking: AccountantRanking
  readonly #accountant: UsageAccountant
  readonly #askers = new Map<number, UsageAsker>()

  constructor (dependencies: UsageLimitsDependencies) {
    this.#dependencies = dependencies
    const { vm, dataCentre, call } = dependencies
    this.#ranking = new AccountantRanking(dataCentre)
    this.#accountant = new UsageAccountant({ vm, ledger: this.#ledger, ranking: this.#ranking, call })
  }

  /** Number of organisations whose accounts this VM keeps now. */
  get accountCount (): number {
    return this.#accountant.countInUse(performance.now())
  }

  /** Finds the limit of an organisation; null without one. */
  findLimit (organisation: OrganisationName): UsageLimit | null {
    return this.#ledger.find(organisation)?.limit ?? null
  }

  /** Units that this VM may use by itself; null without a limit. */
  findShareLevel (organisation: OrganisationName): number | null {
    return this.#ledger.find(organisation)?.share.getLevel(performance.now()) ?? null
  }

  /** Number of VMs among which limits are divided. */
  countVms (): number {
    return this.#ledger.countVms(performance.now())
  }

  /** Applies the VMs that may be running. */
  applyVms (): void {
    const { listVms, listAccountants } = this.#dependencies
    const vms = listVms()
    if (vms === this.#ledger.vms) return
    this.#ledger.setVms(vms, performance.now())
    this.#accountant.applyTerms(performance.now())
    this.#ranking.setAccountants(listAccountants())
  }

  /** Applies the limits of a configuration. */
  applyLimits (organisations: GatewayOrganisation[]): void {
    this.applyVms()
    this.#ledger.applyLimits(organisations, performance.now())
    this.#accountant.applyTerms(performance.now())
  }

  /** Decides on a request before it is sent; never throws. */
  async admit (organisation: OrganisationName, amount: number): Promise<UsageAdmission> {
    const limited = this.#ledger.find(organisation)
    if (limited === undefined) return { type: 'admitted', taken: null }
    this.applyVms()
    if (!canEverAdmit(limited.limit, amount)) return { type: 'refused', refusal: 'tooLarge', accountant: '', waitMs: null }
    const nowMs = performance.now()
    if (nowMs < limited.refusedUntilMs) {
      limited.refusedUnits += amount
      return { type: 'refused', refusal: 'refusedBefore', accountant: '', waitMs: this.#spreadWaitMs(limited.roomAtMs - nowMs) }
    }
    if (nowMs >= limited.isShortUntilMs && limited.share.tryTake(amount, nowMs)) return { type: 'admitted', taken: amount }
    return await this.#askAccountant(limited, amount)
  }

  /** Puts back the units of a request that no endpoint ran. */
  putBack (organisation: OrganisationName, amount: number): void {
    this.#ledger.find(organisation)?.share.putBack(amount, performance.now())
  }

  /** Serves `usage.exchange`. Throws an error for malformed params. */
  async handleExchange (params: unknown): Promise<unknown> {
    this.applyVms()
    return await this.#accountant.exchange(exchangeParamsSchema.parse(params))
  }

  /** Serves `usage.collect`. Throws an error for malformed params. */
  handleCollect (params: unknown): unknown {
    const { hasMajority, vmCount, organisations } = collectParamsSchema.parse(params)
    const nowMs = performance.now()
    this.applyVms()
    this.#ledger.recordTold(vmCount, nowMs)
    const shares = organisations.map(organisation => {
      const { units, lentMs } = this.#ledger.lend(organisation, hasMajority, nowMs)
      return { units: units + this.#accountant.takeForOther(organisation, nowMs), lentMs }
    })
    return { incarnation: this.#dependencies.incarnation, shares } satisfies CollectResult
  }

  async #askAccountant (limited: LimitedOrganisation, amount: number): Promise<UsageAdmission> {
    const { organisation } = limited
    const asker = this.#getAsker(findUsageGroup(organisation))
    let result = await asker.ask(organisation, amount)
    if (result.type === 'decided' && result.waitMs > 0 && result.waitMs <= MAX_WAIT_MS) {
      await sleep(result.waitMs)
      result = await asker.ask(organisation, amount)
    }
    const nowMs = performance.now()
    if (result.type === 'decided' && result.waitMs === 0) return { type: 'admitted', taken: amount }
    // What was not handed over is still in the share.
    if (!limited.share.isConnected(nowMs) && limited.share.tryTake(amount, nowMs)) return { type: 'admitted', taken: amount }
    if (result.type === 'unanswered') return { type: 'refused', refusal: 'unanswered', accountant: '', waitMs: this.#spreadWaitMs(UNANSWERED_WAIT_MS) }
    const { accountant, waitMs } = result
    // A configuration that was applied meanwhile has replaced the entry.
    const current = this.#ledger.find(organisation)
    if (current !== undefined) Object.assign(current, { refusedUntilMs: nowMs + Math.min(MAX_REFUSAL_MS, computeUsageCapacity(current.limit) / current.limit.ratePerS * MS_PER_SECOND * REFUSAL_FILL, waitMs), roomAtMs: nowMs + waitMs, isShortUntilMs: nowMs + SHORT_MS })
    return { type: 'refused', refusal: 'noRoom', accountant, waitMs }
  }

  #getAsker (group: number): UsageAsker {
    const existing = this.#askers.get(group)
    if (existing !== undefined) return existing
    const { vm, call, onFailed } = this.#dependencies
    const created = new UsageAsker({ vm, group, ledger: this.#ledger, ranking: this.#ranking, onFailed, exchange: (accountant, params) => accountant === vm ? this.#accountant.exchange(params) : call(accountant, 'usage.exchange', params) })
    this.#askers.set(group, created)
    return created
  }

  /** Callers that this VM refuses by itself return after the one that the accountant told a time, spread over half as long again. */
  #spreadWaitMs (meanMs: number): number {
    return Math.max(MIN_SPREAD_MS, Math.round(meanMs + this.#dependencies.randomizeDelayMs(Math.max(MIN_SPREAD_MS, meanMs / 2))))
  }
}
