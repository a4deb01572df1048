import { UsageAccount, UsageContacts } from 'knapweedshunt-admission'
import type { OrganisationName, VmId } from 'knapweedshunt-types'
import { findUsageGroup } from './accountantRanking.ts'
import type { AccountantRanking } from './accountantRanking.ts'
import { hasRefusedConnection } from './hasRefusedConnection.ts'
import type { UsageLedger } from './usageLedger.ts'
import { collectResultSchema, MAX_MESSAGE_ORGANISATIONS } from './usageMessages.ts'
import type { ExchangeParams, ExchangeResult } from './usageMessages.ts'
import { waitAtMost } from './waitAtMost.ts'

/** Longest time for which requests wait for units that are being collected, and the interval at which they look whether these suffice, in milliseconds. */
const COLLECT_WAIT = { maxMs: 200, stepMs: 20 }

/** Time after which a VM asks again about an organisation whose limit this VM has not read yet, in milliseconds. */
const UNKNOWN_LIMIT_WAIT_MS = 200

const NO_LEFT_PARTS: Map<VmId, number> = new Map()

/** Dependencies of {@link UsageAccountant}. */
export interface UsageAccountantDependencies {
  vm: VmId
  ledger: UsageLedger
  ranking: AccountantRanking
  /** Calls a method of another VM. Throws an error when it does not answer. */
  call (vm: VmId, method: string, params: unknown): Promise<unknown>
}

/** The accounts that this VM keeps for organisations of which it is the accountant. */
export class UsageAccountant {
  readonly #dependencies: UsageAccountantDependencies
  readonly #contacts: UsageContacts
  readonly #accounts = new Map<OrganisationName, UsageAccount>()
  /** Last incarnation of each VM that lent its shares. */
  readonly #incarnations = new Map<VmId, string>()
  #collection: Promise<void> | null = null

  constructor (dependencies: UsageAccountantDependencies) {
    this.#dependencies = dependencies
    this.#contacts = new UsageContacts(dependencies.vm)
  }

  /** Number of accounts in use. */
  countInUse (nowMs: number): number {
    return this.#listInUse(nowMs).length
  }

  /** Applies the limits and VMs of the ledger. */
  applyTerms (nowMs: number): void {
    const { ledger } = this.#dependencies
    this.#issueAll(nowMs)
    this.#contacts.setVms(ledger.vms)
    for (const [organisation, account] of this.#accounts) {
      const known = ledger.find(organisation)
      if (known === undefined) this.#accounts.delete(organisation)
      else account.setTerms(known.limit, ledger.vms, nowMs)
    }
  }

  /** Takes what a VM hands over and decides on its requests. */
  async exchange ({ vm, organisations }: ExchangeParams): Promise<ExchangeResult> {
    this.#recordHeard(vm)
    for (const { organisation, handedOver: units } of organisations) if (units > 0) this.#findAccount(organisation)?.add(vm, { units, lentMs: 0, isNew: false }, performance.now())
    this.#startCollection(organisations)
    await this.#waitForUnits(organisations)
    const nowMs = performance.now()
    this.#issueAll(nowMs)
    return {
      hasMajority: this.#recordOwnContact(nowMs),
      vmCount: this.#dependencies.ledger.countVms(nowMs),
      organisations: organisations.map(one => ({ organisation: one.organisation, waitsMs: this.#decideAll(one, nowMs) }))
    }
  }

  /** Takes units of an organisation, to hand them over to another accountant. */
  takeForOther (organisation: OrganisationName, nowMs: number): number {
    return this.#accounts.get(organisation)?.takeForOther(nowMs) ?? 0
  }

  #decideAll ({ organisation, refused, amounts }: ExchangeParams['organisations'][number], nowMs: number): number[] {
    const account = this.#findAccount(organisation)
    if (account === null) return amounts.map(() => UNKNOWN_LIMIT_WAIT_MS)
    account.limitLevel(this.#contacts.computeLeftParts(nowMs), this.#isFirst(organisation), nowMs)
    account.recordRefused(refused, nowMs)
    return amounts.map(amount => {
      const decision = account.decide(amount, nowMs)
      return decision.type === 'admitted' ? 0 : decision.waitMs
    })
  }

  #findAccount (organisation: OrganisationName): UsageAccount | null {
    const { ledger } = this.#dependencies
    const known = ledger.find(organisation)
    if (known === undefined || ledger.vms.length === 0) return null
    const existing = this.#accounts.get(organisation)
    if (existing !== undefined) return existing
    const created = new UsageAccount(known.limit, ledger.vms, performance.now())
    this.#accounts.set(organisation, created)
    return created
  }

  async #waitForUnits (organisations: ExchangeParams['organisations']): Promise<void> {
    const deadlineMs = performance.now() + COLLECT_WAIT.maxMs
    const isShort = () => organisations.some(({ organisation, amounts }) => !(this.#findAccount(organisation)?.canCover(sumAmounts(amounts)) ?? true))
    while (this.#collection !== null && isShort() && performance.now() < deadlineMs) await waitAtMost(this.#collection, COLLECT_WAIT.stepMs)
  }

  /** Starts a collection if an account needs it and none is under way. */
  #startCollection (organisations: ExchangeParams['organisations']): void {
    const nowMs = performance.now()
    const hasMajority = this.#contacts.hasMajority(nowMs)
    const asked = organisations.filter(({ organisation, amounts }) => amounts.length > 0 && this.#findAccount(organisation) !== null)
    if (this.#collection !== null || !asked.some(({ organisation, amounts }) => this.#findAccount(organisation)?.shouldCollect(sumAmounts(amounts), hasMajority, nowMs))) return
    const inUse = new Set([...asked.map(({ organisation }) => organisation), ...this.#listInUse(nowMs)])
    this.#collection = this.#collect([...inUse].slice(0, MAX_MESSAGE_ORGANISATIONS)).finally(() => { this.#collection = null })
  }

  async #collect (organisations: OrganisationName[]): Promise<void> {
    const { vm: self, ledger } = this.#dependencies
    const nowMs = performance.now()
    const others = ledger.vms.filter(vm => vm !== self)
    const hasMajority = this.#recordOwnContact(nowMs)
    for (const organisation of organisations) {
      const account = this.#accounts.get(organisation)
      account?.recordCollection(hasMajority, nowMs)
      account?.add(self, { ...ledger.lend(organisation, hasMajority, nowMs), isNew: false }, nowMs)
    }
    const params = { hasMajority, vmCount: ledger.countVms(nowMs), organisations }
    await Promise.all(others.map(vm => this.#collectFrom(vm, params, organisations)))
  }

  async #collectFrom (vm: VmId, params: unknown, organisations: OrganisationName[]): Promise<void> {
    try {
      const { incarnation, shares } = collectResultSchema.parse(await this.#dependencies.call(vm, 'usage.collect', params))
      const nowMs = performance.now()
      if (this.#contacts.isFailing(vm)) this.#issueAll(nowMs)
      this.#contacts.recordHeard(vm, nowMs)
      const isNew = this.#incarnations.get(vm) !== incarnation
      this.#incarnations.set(vm, incarnation)
      for (const [i, organisation] of organisations.entries()) if (shares[i] !== undefined) this.#findAccount(organisation)?.add(vm, { ...shares[i], isNew }, nowMs)
    } catch (error) {
      const nowMs = performance.now()
      this.#issueAll(nowMs)
      this.#contacts.recordFailed(vm, hasRefusedConnection(error), nowMs)
    }
  }

  #recordHeard (vm: VmId): void {
    const nowMs = performance.now()
    this.#issueAll(nowMs)
    if (vm !== this.#dependencies.vm) this.#contacts.recordHeard(vm, nowMs)
  }

  #recordOwnContact (nowMs: number): boolean {
    const hasMajority = this.#contacts.hasMajority(nowMs)
    if (hasMajority) for (const organisation of this.#accounts.keys()) this.#dependencies.ledger.recordContact(organisation, nowMs)
    return hasMajority
  }

  #issueAll (nowMs: number): void {
    const leftParts = this.#contacts.computeLeftParts(nowMs)
    for (const [organisation, account] of this.#accounts) account.issue(this.#isFirst(organisation) ? leftParts : NO_LEFT_PARTS, nowMs)
  }

  /** Whether all VMs should ask this one. Those that did not reach it ask another one for a while; only one of both issues what VMs leave. */
  #isFirst (organisation: OrganisationName): boolean {
    const { vm, ranking } = this.#dependencies
    return ranking.findFirst(findUsageGroup(organisation), one => this.#contacts.isFailing(one)) === vm
  }

  #listInUse (nowMs: number): OrganisationName[] {
    return [...this.#accounts].filter(([, account]) => account.isInUse(nowMs)).map(([organisation]) => organisation)
  }
}

function sumAmounts (amounts: number[]): number {
  return amounts.reduce((sum, amount) => sum + amount, 0)
}
