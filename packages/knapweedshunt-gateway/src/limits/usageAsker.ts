import type { OrganisationName, VmId } from 'knapweedshunt-types'
import type { AccountantRanking } from './accountantRanking.ts'
import { hasRefusedConnection } from './hasRefusedConnection.ts'
import type { UsageLedger } from './usageLedger.ts'
import { exchangeResultSchema, MAX_MESSAGE_ORGANISATIONS, MAX_MESSAGE_REQUESTS } from './usageMessages.ts'
import type { ExchangeParams, ExchangeResult } from './usageMessages.ts'

/** Number of accountants that are asked before a request is decided without one. */
const MAX_ASKED_VMS = 2

/** Time for which nobody is asked after no accountant answered, in milliseconds. */
const UNANSWERED_PAUSE_MS = 500

/** What an accountant decided; `waitMs` is 0 if the request is admitted. */
export type AskResult =
  | { type: 'decided', accountant: VmId, waitMs: number }
  | { type: 'unanswered' }

interface WaitingRequest {
  organisation: OrganisationName
  amount: number
  resolve (result: AskResult): void
}

/** Dependencies of {@link UsageAsker}. */
export interface UsageAskerDependencies {
  vm: VmId
  /** Group of organisations that this asker asks for. */
  group: number
  ledger: UsageLedger
  ranking: AccountantRanking
  /** Asks an accountant, which may be this VM. Throws an error when it does not answer. */
  exchange (accountant: VmId, params: ExchangeParams): Promise<unknown>
  onFailed (accountant: VmId, reason: string): void
}

/** Asks the accountant of one group of organisations; requests that come while a call is under way share the next one. */
export class UsageAsker {
  readonly #dependencies: UsageAskerDependencies
  #waiting: WaitingRequest[] = []
  #isAsking = false
  #pausedUntilMs = -Infinity

  constructor (dependencies: UsageAskerDependencies) {
    this.#dependencies = dependencies
  }

  /** Asks whether a request is admitted; never throws. */
  async ask (organisation: OrganisationName, amount: number): Promise<AskResult> {
    if (performance.now() < this.#pausedUntilMs) return { type: 'unanswered' }
    return await new Promise(resolve => {
      this.#waiting.push({ organisation, amount, resolve })
      if (!this.#isAsking) this.#askAll().catch(() => {}) // Failed calls are reported by onFailed.
    })
  }

  async #askAll (): Promise<void> {
    this.#isAsking = true
    while (this.#waiting.length > 0) await this.#askNext()
    this.#isAsking = false
  }

  async #askNext (): Promise<void> {
    const byOrganisation = this.#takeWaiting()
    const params = this.#buildParams(byOrganisation)
    const answer = await this.#exchange(params)
    if (answer === null) {
      this.#pausedUntilMs = performance.now() + UNANSWERED_PAUSE_MS
      for (const requests of byOrganisation.values()) for (const { resolve } of requests) resolve({ type: 'unanswered' })
      return
    }
    const { accountant, result } = answer
    this.#applyResult(result)
    const waits = new Map(result.organisations.map(({ organisation, waitsMs }) => [organisation, waitsMs]))
    for (const [organisation, requests] of byOrganisation) {
      for (const [i, { resolve }] of requests.entries()) {
        const waitMs = waits.get(organisation)?.[i]
        resolve(waitMs === undefined ? { type: 'unanswered' } : { type: 'decided', accountant, waitMs })
      }
    }
  }

  #takeWaiting (): Map<OrganisationName, WaitingRequest[]> {
    const byOrganisation = new Map<OrganisationName, WaitingRequest[]>()
    const left: WaitingRequest[] = []
    for (const request of this.#waiting) {
      const requests = byOrganisation.get(request.organisation) ?? []
      const hasRoom = requests.length < MAX_MESSAGE_REQUESTS && (requests.length > 0 || byOrganisation.size < MAX_MESSAGE_ORGANISATIONS)
      if (!hasRoom) left.push(request)
      else byOrganisation.set(request.organisation, [...requests, request])
    }
    this.#waiting = left
    return byOrganisation
  }

  #buildParams (byOrganisation: Map<OrganisationName, WaitingRequest[]>): ExchangeParams {
    const { vm, ledger } = this.#dependencies
    const nowMs = performance.now()
    return { vm, organisations: [...byOrganisation].map(([organisation, requests]) => ({ organisation, ...ledger.takeAll(organisation, nowMs), amounts: requests.map(({ amount }) => amount) })) }
  }

  /** Units that may have arrived are not sent again. */
  async #exchange (params: ExchangeParams): Promise<{ accountant: VmId, result: ExchangeResult } | null> {
    const { group, ranking, exchange, onFailed } = this.#dependencies
    let next = params
    for (let askedCount = 0; askedCount < MAX_ASKED_VMS; askedCount++) {
      const accountant = ranking.choose(group, performance.now())
      if (accountant === undefined) return null
      try {
        const result = exchangeResultSchema.parse(await exchange(accountant, next))
        ranking.recordAnswered(accountant)
        return { accountant, result }
      } catch (error) {
        const isSilent = !hasRefusedConnection(error)
        ranking.recordFailed(accountant, isSilent, performance.now())
        onFailed(accountant, (error as Error).message)
        if (isSilent) next = { ...params, organisations: params.organisations.map(one => ({ ...one, handedOver: 0 })) }
      }
    }
    return null
  }

  #applyResult ({ hasMajority, vmCount, organisations }: ExchangeResult): void {
    const { ledger } = this.#dependencies
    const nowMs = performance.now()
    ledger.recordTold(vmCount, nowMs)
    if (hasMajority) for (const { organisation } of organisations) ledger.recordContact(organisation, nowMs)
  }
}
