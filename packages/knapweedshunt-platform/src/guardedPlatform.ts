import type { Rng } from 'knapweedshunt-utils'
import { createRng, sleep } from 'knapweedshunt-utils'
import { Backoff } from './backoff.ts'
import type { BackoffOptions } from './backoff.ts'
import { CircuitBreaker } from './circuitBreaker.ts'
import type { CircuitBreakerOptions } from './circuitBreaker.ts'
import type { Platform, RowWithEra } from './platform.ts'
import { PlatformError, PlatformUnreachableError, PlatformUnsentError } from './platformError.ts'
import { TokenBucket } from './tokenBucket.ts'
import type { TokenBucketOptions } from './tokenBucket.ts'

/** Rate limits, timeouts, retries and circuit breaker for the platform calls of one process. */
export interface GuardedPlatformOptions {
  /** Rate limit of reads; each retry takes a token too. */
  reads: TokenBucketOptions
  writes: TokenBucketOptions
  /** Longest wait for a token of the rate limit, in milliseconds; a call that would wait longer is not sent. */
  maxWaitMs: number
  /** Timeout of one attempt from when it is sent, in milliseconds. */
  timeoutMs: number
  /** Attempts of a read, the first included. Writes are sent once: after a lost answer only the caller can find out whether they took effect. */
  maxReadAttempts: number
  backoff: BackoffOptions
  breaker: CircuitBreakerOptions
  /** Seed of the jitter of backoff and circuit breaker. */
  seed: number
}

/** Defaults for one of eight VMs that share tables with a capacity of 300 writes/s and 2,000 reads/s. */
export const DEFAULT_GUARDED_PLATFORM_OPTIONS: GuardedPlatformOptions = {
  reads: { ratePerS: 250, burst: 50 },
  writes: { ratePerS: 37, burst: 10 },
  maxWaitMs: 1_000,
  timeoutMs: 1_000,
  maxReadAttempts: 2,
  backoff: { initialDelayMs: 50, maxDelayMs: 2_000 },
  breaker: { failureThreshold: 5, openMs: 1_000 },
  seed: 1
}

/** Decorates a platform with rate limits, timeouts, retries of reads and a circuit breaker. Every error thrown is a PlatformError. */
export class GuardedPlatform implements Platform {
  readonly #inner: Platform
  readonly #options: GuardedPlatformOptions
  readonly #readBucket: TokenBucket
  readonly #writeBucket: TokenBucket
  readonly #breaker: CircuitBreaker
  readonly #rng: Rng

  constructor (inner: Platform, options: GuardedPlatformOptions = DEFAULT_GUARDED_PLATFORM_OPTIONS) {
    this.#inner = inner
    this.#options = options
    this.#readBucket = new TokenBucket(options.reads)
    this.#writeBucket = new TokenBucket(options.writes)
    this.#rng = createRng(options.seed)
    this.#breaker = new CircuitBreaker(options.breaker, this.#rng)
  }

  /** Whether the circuit breaker is closed. */
  isReachable (): boolean {
    return this.#breaker.isClosed()
  }

  readonly read: Platform['read'] = (table, key) => this.#callWithRetries(() => this.#inner.read(table, key))
  readonly readWithEra = (table: string, key: string): Promise<RowWithEra> => this.#callWithRetries(async () => await this.#inner.readWithEra?.(table, key) ?? { row: await this.#inner.read(table, key), era: null })
  readonly scan: Platform['scan'] = request => this.#callWithRetries(() => this.#inner.scan(request))
  readonly getObject: Platform['getObject'] = name => this.#callWithRetries(() => this.#inner.getObject(name))
  readonly listVms: Platform['listVms'] = () => this.#callWithRetries(() => this.#inner.listVms())
  readonly transact: Platform['transact'] = transaction => this.#callOnce(this.#writeBucket, () => this.#inner.transact(transaction))
  readonly putObject: Platform['putObject'] = (name, text) => this.#callOnce(this.#writeBucket, () => this.#inner.putObject(name, text))

  async #callWithRetries<T> (send: () => Promise<T>): Promise<T> {
    const backoff = new Backoff(this.#options.backoff, this.#rng)
    for (let attempt = 1; ; attempt++) {
      try {
        return await this.#callOnce(this.#readBucket, send)
      } catch (error) {
        const isFinal = !(error instanceof PlatformUnreachableError) || error instanceof PlatformUnsentError
        if (isFinal || attempt >= this.#options.maxReadAttempts) throw error
      }
      await sleep(backoff.drawDelay())
    }
  }

  async #callOnce<T> (bucket: TokenBucket, send: () => Promise<T>): Promise<T> {
    if (this.#breaker.isOpen()) throw new PlatformUnsentError('Platform call not sent: circuit breaker is open.')
    const waitMs = bucket.reserve(this.#options.maxWaitMs)
    if (waitMs === null) throw new PlatformUnsentError('Platform call not sent: rate limit exceeded.')
    if (waitMs > 0) await sleep(waitMs)
    if (!this.#breaker.admit()) throw new PlatformUnsentError('Platform call not sent: circuit breaker is open.')
    try {
      const answer = await waitForAnswer(send(), this.#options.timeoutMs)
      this.#breaker.recordOutcome('answered')
      return answer
    } catch (error) {
      this.#breaker.recordOutcome(error instanceof PlatformUnreachableError ? 'failed' : 'answered')
      if (error instanceof PlatformError) throw error
      throw new PlatformError('Platform call failed with an unexpected error.', { cause: error })
    }
  }
}

function waitForAnswer<T> (answer: Promise<T>, timeoutMs: number): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new PlatformUnreachableError(`Platform did not answer within ${timeoutMs} ms.`)), timeoutMs)
    answer.then(resolve, reject).finally(() => clearTimeout(timer))
  })
}
