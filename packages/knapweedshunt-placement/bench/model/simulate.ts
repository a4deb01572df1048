import type { Policy, PolicyChoice, PolicyWorld } from '../policies/policy.ts'
import type { Deployment } from './deployments.ts'
import { EngineModel } from './engineModel.ts'
import { EventQueue } from './eventQueue.ts'
import type { Job } from './job.ts'
import { KeptStore } from './keptStore.ts'
import { LoadViews } from './loadViews.ts'
import type { Sample } from './sample.ts'
import { RUN_MS } from './scenarios.ts'
import type { Scenario } from './scenarios.ts'

const POLL_MS = 500
const REPORT_LAG_MS = 200
/** Other data centres are heard at every fourth poll and later. */
const REMOTE_EVERY = 4
const REMOTE_LAG_MS = 500
const PEERS_MS = 1_000
const PEERS_LAG_MS = 300
const RETRY_MS = 100

/** Builds one router's policy. */
export type PolicyFactory = (world: PolicyWorld, deployment: Deployment) => Policy

/** One run of a policy over seeded traffic in virtual time. */
export class Simulation {
  readonly samples: Sample[] = []
  readonly #events = new EventQueue()
  readonly #deployment: Deployment
  readonly #factory: PolicyFactory
  readonly #isNear: boolean
  readonly #kept: KeptStore
  readonly #engines: EngineModel[]
  readonly #routerSites: number[]
  readonly #views = new LoadViews()
  #policies: Policy[]
  #attempts = 0

  constructor (deployment: Deployment, factory: PolicyFactory, isNear: boolean) {
    this.#deployment = deployment
    this.#isNear = isNear
    this.#factory = factory
    this.#kept = new KeptStore(deployment.keptTokens)
    this.#engines = listSites(deployment.engines).map((site, i) => new EngineModel(i, site, deployment.engine, this.#events, this.#kept))
    this.#routerSites = listSites(deployment.routers)
    performance.now = () => this.#events.nowMs
    this.#policies = this.#buildPolicies(1)
  }

  /** Runs the traffic to its end. */
  run (jobs: Job[], scenario: Scenario): Sample[] {
    for (const job of jobs) this.#events.add(job.atMs, () => this.#place(job, []))
    for (let atMs = 0, n = 0; atMs < RUN_MS; atMs += POLL_MS, n++) this.#events.add(atMs, () => this.#report(n % REMOTE_EVERY === 0))
    for (let atMs = PEERS_MS; atMs < RUN_MS; atMs += PEERS_MS) this.#events.add(atMs, () => this.#exchange(atMs))
    if (scenario.lostAtMs < RUN_MS) this.#events.add(scenario.lostAtMs, () => this.#engines[0].crash())
    if (scenario.backAtMs < RUN_MS) this.#events.add(scenario.backAtMs, () => this.#engines[0].restart())
    if (scenario.herdAtMs < RUN_MS) this.#events.add(scenario.herdAtMs, () => this.#restartRouters())
    this.#events.run()
    return this.samples
  }

  #buildPolicies (generation: number): Policy[] {
    return this.#routerSites.map((dataCentre, router) => {
      const world = { engines: this.#engines, dataCentre, router, isNear: this.#isNear, seed: generation * 1_000 + router, nowMs: () => this.#events.nowMs }
      return this.#factory(world, this.#deployment)
    })
  }

  /** New routers know the last reports and nothing else. */
  #restartRouters (): void {
    this.#policies = this.#buildPolicies(2)
    for (const policy of this.#policies) policy.takeViews(this.#views.list(this.#engines, this.#events.nowMs, 0))
  }

  #report (withRemote: boolean): void {
    const { nowMs } = this.#events
    this.#views.poll(this.#engines, nowMs)
    const kept = this.#deployment.keptTokens > 0 ? this.#kept.list() : []
    for (const [router, site] of this.#routerSites.entries()) {
      const local = this.#views.list(this.#engines.filter(engine => engine.dataCentre === site), nowMs, REPORT_LAG_MS)
      const remote = this.#views.list(this.#engines.filter(engine => engine.dataCentre !== site), nowMs, REMOTE_LAG_MS)
      this.#events.add(nowMs + REPORT_LAG_MS, () => {
        this.#policies[router].takeViews(local)
        this.#policies[router].takeKept(kept)
      })
      if (withRemote) this.#events.add(nowMs + REMOTE_LAG_MS, () => this.#policies[router].takeViews(remote))
    }
  }

  #exchange (n: number): void {
    for (const [from, site] of this.#routerSites.entries()) {
      const demands = this.#policies[from].listHotKeys()
      const peers = this.#routerSites.flatMap((other, to) => (this.#isNear || other === site) && to !== from ? [to] : [])
      for (const to of peers) this.#events.add(this.#events.nowMs + PEERS_LAG_MS, () => this.#policies[to].takePeerDemand(`vm-${from}`, n, demands))
    }
  }

  #place (job: Job, excluded: number[]): void {
    const policy = this.#policies[job.router]
    const choice = policy.choose(job, excluded)
    if (choice === null) this.#events.add(this.#events.nowMs + RETRY_MS, () => this.#place(job, []))
    else this.#send(job, policy, choice, excluded)
  }

  #send (job: Job, policy: Policy, { engine: index, importKey }: PolicyChoice, excluded: number[]): void {
    const attempt = `attempt-${this.#attempts++}`
    const engine = this.#engines[index]
    policy.noteStart(attempt, job, index)
    const fail = () => {
      policy.noteEnd(attempt, index, null)
      this.#place(job, [...excluded, index])
    }
    let cached = 0
    const isTaken = engine.take({
      job,
      importKey,
      onFirstToken: ({ cachedTokens, importedTokens, computedTokens }) => {
        cached = cachedTokens
        policy.noteAnswer(attempt, String(engine.incarnation))
        if (excluded.length === 0 || !this.samples.some(sample => sample.atMs === job.atMs)) this.samples.push(this.#describe(job, cachedTokens, importedTokens, computedTokens))
      },
      onEnd: () => policy.noteEnd(attempt, index, cached),
      onCrash: fail
    })
    if (!isTaken) fail()
  }

  #describe (job: Job, cachedTokens: number, importedTokens: number, computedTokens: number): Sample {
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

function listSites (counts: number[]): number[] {
  return counts.flatMap((count, site) => new Array<number>(count).fill(site))
}
