import type { Policy, PolicyChoice, PolicyContext } from '../policies/policy.ts'
import type { Deployment } from './deployments.ts'
import { EngineModel } from './engineModel.ts'
import { EventQueue } from './eventQueue.ts'
import type { Job } from './job.ts'
import { KvStore } from './kvStore.ts'
import { LoadViews } from './loadViews.ts'
import type { Sample } from './sample.ts'
import { RUN_DURATION_MS } from './scenarios.ts'
import type { Scenario } from './scenarios.ts'

const POLL_INTERVAL_MS = 500
const REPORT_LAG_MS = 200
/** Reports of other data centres are sent at every fourth poll only, and arrive later. */
const POLLS_PER_REMOTE_REPORT = 4
const REMOTE_LAG_MS = 500
const PEER_EXCHANGE_INTERVAL_MS = 1_000
const PEER_EXCHANGE_LAG_MS = 300
const RETRY_DELAY_MS = 100

/** Builds the policy of one router. */
export type PolicyFactory = (context: PolicyContext, deployment: Deployment) => Policy

/** One run of a policy over reproducible traffic in virtual time. Replaces `performance.now` by the virtual clock. */
export class Simulation {
  readonly samples: Sample[] = []
  readonly #events = new EventQueue()
  readonly #deployment: Deployment
  readonly #factory: PolicyFactory
  readonly #isNear: boolean
  readonly #kvStore: KvStore
  readonly #engines: EngineModel[]
  readonly #routerDataCentres: number[]
  readonly #views = new LoadViews()
  #policies: Policy[]
  #attempts = 0

  constructor (deployment: Deployment, factory: PolicyFactory, isNear: boolean) {
    this.#deployment = deployment
    this.#isNear = isNear
    this.#factory = factory
    this.#kvStore = new KvStore(deployment.kvStoreTokens)
    this.#engines = listDataCentres(deployment.engines).map((dataCentre, i) => new EngineModel(i, dataCentre, deployment.engine, this.#events, this.#kvStore))
    this.#routerDataCentres = listDataCentres(deployment.routers)
    performance.now = () => this.#events.nowMs
    this.#policies = this.#buildPolicies(1)
  }

  /** Runs all jobs until the last one ends and returns the samples. */
  run (jobs: Job[], scenario: Scenario): Sample[] {
    for (const job of jobs) this.#events.schedule(job.atMs, () => this.#place(job, []))
    for (let atMs = 0, n = 0; atMs < RUN_DURATION_MS; atMs += POLL_INTERVAL_MS, n++) this.#events.schedule(atMs, () => this.#publishLoadReports(n % POLLS_PER_REMOTE_REPORT === 0))
    for (let atMs = PEER_EXCHANGE_INTERVAL_MS; atMs < RUN_DURATION_MS; atMs += PEER_EXCHANGE_INTERVAL_MS) this.#events.schedule(atMs, () => this.#exchangeDemands(atMs))
    if (scenario.crashAtMs < RUN_DURATION_MS) this.#events.schedule(scenario.crashAtMs, () => this.#engines[0].crash())
    if (scenario.restartAtMs < RUN_DURATION_MS) this.#events.schedule(scenario.restartAtMs, () => this.#engines[0].restart())
    if (scenario.routerRestartAtMs < RUN_DURATION_MS) this.#events.schedule(scenario.routerRestartAtMs, () => this.#restartRouters())
    this.#events.run()
    return this.samples
  }

  #buildPolicies (generation: number): Policy[] {
    return this.#routerDataCentres.map((dataCentre, router) => {
      const context = { engines: this.#engines, dataCentre, router, isNear: this.#isNear, seed: generation * 1_000 + router, nowMs: () => this.#events.nowMs }
      return this.#factory(context, this.#deployment)
    })
  }

  /** Replaces all routers by new ones that have only the last load reports. */
  #restartRouters (): void {
    this.#policies = this.#buildPolicies(2)
    for (const policy of this.#policies) policy.updateViews(this.#views.list(this.#engines, this.#events.nowMs, 0))
  }

  #publishLoadReports (includesRemote: boolean): void {
    const { nowMs } = this.#events
    this.#views.poll(this.#engines, nowMs)
    const entries = this.#deployment.kvStoreTokens > 0 ? this.#kvStore.list() : []
    for (const [router, dataCentre] of this.#routerDataCentres.entries()) {
      const local = this.#views.list(this.#engines.filter(engine => engine.dataCentre === dataCentre), nowMs, REPORT_LAG_MS)
      const remote = this.#views.list(this.#engines.filter(engine => engine.dataCentre !== dataCentre), nowMs, REMOTE_LAG_MS)
      this.#events.schedule(nowMs + REPORT_LAG_MS, () => {
        this.#policies[router].updateViews(local)
        this.#policies[router].updateKvStore(entries)
      })
      if (includesRemote) this.#events.schedule(nowMs + REMOTE_LAG_MS, () => this.#policies[router].updateViews(remote))
    }
  }

  #exchangeDemands (n: number): void {
    for (const [from, dataCentre] of this.#routerDataCentres.entries()) {
      const demands = this.#policies[from].listHotKeys()
      const peers = this.#routerDataCentres.flatMap((otherDataCentre, to) => (this.#isNear || otherDataCentre === dataCentre) && to !== from ? [to] : [])
      for (const to of peers) this.#events.schedule(this.#events.nowMs + PEER_EXCHANGE_LAG_MS, () => this.#policies[to].updatePeerDemand(`vm-${from}`, n, demands))
    }
  }

  #place (job: Job, excluded: number[]): void {
    const policy = this.#policies[job.router]
    const choice = policy.choose(job, excluded)
    if (choice === null) this.#events.schedule(this.#events.nowMs + RETRY_DELAY_MS, () => this.#place(job, []))
    else this.#send(job, policy, choice, excluded)
  }

  #send (job: Job, policy: Policy, { engine: index, importKey }: PolicyChoice, excluded: number[]): void {
    const attempt = `attempt-${this.#attempts++}`
    const engine = this.#engines[index]
    policy.recordStart(attempt, job, index)
    const fail = () => {
      policy.recordEnd(attempt, index, null)
      this.#place(job, [...excluded, index])
    }
    let cached = 0
    const isAccepted = engine.enqueue({
      job,
      importKey,
      onFirstToken: ({ cachedTokens, importedTokens, computedTokens }) => {
        cached = cachedTokens
        policy.recordAnswer(attempt, String(engine.incarnation))
        if (excluded.length === 0 || !this.samples.some(sample => sample.atMs === job.atMs)) this.samples.push(this.#buildSample(job, cachedTokens, importedTokens, computedTokens))
      },
      onEnd: () => policy.recordEnd(attempt, index, cached),
      onCrash: fail
    })
    if (!isAccepted) fail()
  }

  #buildSample (job: Job, cachedTokens: number, importedTokens: number, computedTokens: number): Sample {
    return {
      organisation: job.organisation,
      job: job.job,
      atMs: job.atMs,
      firstTokenMs: this.#events.nowMs - job.atMs + this.#deployment.engine.tokenMs,
      promptTokens: job.promptTokens,
      cachedTokens,
      importedTokens,
      wastedTokens: Math.max(0, computedTokens - job.freshTokens)
    }
  }
}

function listDataCentres (counts: number[]): number[] {
  return counts.flatMap((count, dataCentre) => new Array<number>(count).fill(dataCentre))
}
