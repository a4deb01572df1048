import type { Rng } from 'knapweedshunt-utils'
import { createRng, sleep } from 'knapweedshunt-utils'
import { Backoff } from './backoff.ts'
import type { BackoffOptions } from './backoff.ts'
import { CircuitBreaker } from './circuitBreaker.ts'
import type { BreakerOptions } from './circuitBreaker.ts'
import type { Platform } from './platform.ts'
import { PlatformError, PlatformUnreachableError, PlatformUnsentError } from './platformError.ts'
import { TokenBucket } from './tokenBucket.ts'
import type { TokenBucketOptions } from './tokenBucket.ts'

/** Bounds of one process's calls to the platform. */
export interface GuardOptions {
  reads: TokenBucketOptions
  writes: TokenBucketOptions
  /** Longest wait for budget; a call that would wait longer is not sent. Milliseconds. */
  maxWaitMs: number
  /** Longest wait for an answer, in milliseconds. */
  timeoutMs: number
  /** Tries of a read; writes are tried once, for their caller to settle. */
  readTries: number
  backoff: BackoffOptions
  breaker: BreakerOptions
  /** Seed of jitter. */
  seed: number
}

/** Bounds for one of eight VMs before tables that take 300 writes/s and 2,000 reads/s. */
export const DEFAULT_GUARD_OPTIONS: GuardOptions = {
  reads: { ratePerS: 250, burst: 50 },
  writes: { ratePerS: 37, burst: 10 },
  maxWaitMs: 1_000,
  timeoutMs: 1_000,
  readTries: 2,
  backoff: { firstMs: 50, maxMs: 2_000 },
  breaker: { failures: 5, openMs: 1_000 },
  seed: 1
}

/** Decorates a platform with budgets, timeouts, retries of reads and a circuit breaker. Errors are PlatformErrors. */
export class GuardedPlatform implements Platform {
  readonly #inner: Platform
  readonly #options: GuardOptions
  readonly #reads: TokenBucket
  readonly #writes: TokenBucket
  readonly #breaker: CircuitBreaker
  readonly #rng: Rng

  constructor (inner: Platform, options: GuardOptions = DEFAULT_GUARD_OPTIONS) {
    this.#inner = inner
    this.#options = options
    this.#reads = new TokenBucket(options.reads)
    this.#writes = new TokenBucket(options.writes)
    this.#rng = createRng(options.seed)
    this.#breaker = new CircuitBreaker(options.breaker, this.#rng)
  }

  /** Whether the last calls were answered. */
  isAnswering (): boolean {
    return this.#breaker.isClosed()
  }

  readonly read: Platform['read'] = (table, key) => this.#callRead(() => this.#inner.read(table, key))
  readonly scan: Platform['scan'] = request => this.#callRead(() => this.#inner.scan(request))
  readonly getObject: Platform['getObject'] = name => this.#callRead(() => this.#inner.getObject(name))
  readonly listVms: Platform['listVms'] = () => this.#callRead(() => this.#inner.listVms())
  readonly transact: Platform['transact'] = transaction => this.#call(this.#writes, () => this.#inner.transact(transaction))
  readonly putObject: Platform['putObject'] = (name, text) => this.#call(this.#writes, () => this.#inner.putObject(name, text))

  async #callRead<T> (send: () => Promise<T>): Promise<T> {
    const backoff = new Backoff(this.#options.backoff, this.#rng)
    for (let tries = 1; ; tries++) {
      try {
        return await this.#call(this.#reads, send)
      } catch (error) {
        const isFinal = !(error instanceof PlatformUnreachableError) || error instanceof PlatformUnsentError
        if (isFinal || tries >= this.#options.readTries) throw error
      }
      await sleep(backoff.drawDelay())
    }
  }

  async #call<T> (bucket: TokenBucket, send: () => Promise<T>): Promise<T> {
    if (this.#breaker.isOpen()) throw new PlatformUnsentError('The platform did not answer lately: no call was made.')
    const waitMs = bucket.reserve(this.#options.maxWaitMs)
    if (waitMs === null) throw new PlatformUnsentError('The budget of platform calls is used up: no call was made.')
    if (waitMs > 0) await sleep(waitMs)
    if (!this.#breaker.admit()) throw new PlatformUnsentError('The platform did not answer lately: no call was made.')
    try {
      const answer = await waitAnswer(send(), this.#options.timeoutMs)
      this.#breaker.take('answered')
      return answer
    } catch (error) {
      this.#breaker.take(error instanceof PlatformUnreachableError ? 'failed' : 'answered')
      if (error instanceof PlatformError) throw error
      throw new PlatformError('A platform call failed inside.', { cause: error })
    }
  }
}

function waitAnswer<T> (answer: Promise<T>, timeoutMs: number): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new PlatformUnreachableError(`The platform did not answer in ${timeoutMs} ms.`)), timeoutMs)
    answer.then(resolve, reject).finally(() => clearTimeout(timer))
  })
}
