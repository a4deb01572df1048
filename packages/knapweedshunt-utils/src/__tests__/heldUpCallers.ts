import { once } from 'node:events'
import { Worker } from 'node:worker_threads'

/** Requests that another thread sends to this one. */
export interface HeldUpCalls {
  url: string
  /** Requests on connections that have served one before. */
  keptCount: number
  /** Requests on new connections. */
  newCount: number
}

/** Callers in a thread of their own, whose connections stay open. */
export class HeldUpCallers {
  readonly #thread: Worker
  readonly #count: number
  /** Number of requests whose bytes are all on their way. */
  readonly #sentCount: Int32Array

  private constructor (thread: Worker, count: number, sentCount: Int32Array) {
    this.#thread = thread
    this.#count = count
    this.#sentCount = sentCount
  }

  /** Resolves once the connections that are kept are open. */
  static async open (calls: HeldUpCalls): Promise<HeldUpCallers> {
    const sentCount = new Int32Array(new SharedArrayBuffer(4))
    const thread = new Worker(new URL('./callersThread.mjs', import.meta.url), { workerData: { ...calls, sentCount } })
    await once(thread, 'message')
    return new HeldUpCallers(thread, calls.keptCount + calls.newCount, sentCount)
  }

  /** Holds this thread up for a time at least, until all requests are sent; resolves to their statuses, or to why they have none. */
  async callWhileHeldUp (minHoldMs: number): Promise<string[]> {
    const endsAtMs = performance.now() + minHoldMs
    this.#thread.postMessage('call')
    for (let sent = 0; sent < this.#count; sent = Atomics.load(this.#sentCount, 0)) Atomics.wait(this.#sentCount, 0, sent)
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, Math.max(0, endsAtMs - performance.now()))
    const [outcomes] = await once(this.#thread, 'message')
    await this.#thread.terminate()
    return outcomes as string[]
  }
}
