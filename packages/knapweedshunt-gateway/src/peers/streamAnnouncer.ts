import type { StreamVersion } from 'knapweedshunt-attempts'
import type { PoolName, VmId } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { PeerView } from './peerAddress.ts'
import { MAX_MESSAGE_STREAMS } from './streamMessages.ts'

/** Time for which streams are gathered before they are sent, in milliseconds. */
const BATCH_MS = 5

/** Pause after a failed call, in milliseconds. */
const RETRY_INTERVAL_MS = 500

/** A stream as it is told to a VM. */
export interface AnnouncedStream extends StreamVersion {
  /** Whether the VM writes it to the store. */
  mustStore: boolean
}

interface PendingStream extends AnnouncedStream {
  pool: PoolName
  atMs: number
}

interface PeerQueue {
  view: PeerView
  pending: PendingStream[]
  isSending: boolean
}

/** Dependencies of {@link StreamAnnouncer}. */
export interface StreamAnnouncerDependencies {
  /** Ends all calls. */
  signal: AbortSignal
  call (view: PeerView, method: string, params: unknown): Promise<unknown>
  /** Time for which a stream may be taken up again, in milliseconds. */
  getRetentionMs (): number
  onFailed (vm: VmId, reason: string): void
}

/** Tells other VMs which software versions began streams; what a VM does not acknowledge is sent again while it matters. */
export class StreamAnnouncer {
  readonly #dependencies: StreamAnnouncerDependencies
  readonly #queues = new Map<VmId, PeerQueue>()

  constructor (dependencies: StreamAnnouncerDependencies) {
    this.#dependencies = dependencies
  }

  /** Sends a stream to another VM soon. */
  add (view: PeerView, pool: PoolName, stream: AnnouncedStream): void {
    const queue = this.#queues.get(view.vm) ?? { view, pending: [], isSending: false }
    this.#queues.set(view.vm, queue)
    queue.view = view
    queue.pending.push({ ...stream, pool, atMs: performance.now() })
    if (queue.isSending) return
    queue.isSending = true
    this.#sendAll(queue).catch(() => {}) // Failed calls are reported by onFailed.
  }

  async #sendAll (queue: PeerQueue): Promise<void> {
    const { signal } = this.#dependencies
    await sleep(BATCH_MS, signal)
    while (queue.pending.length > 0 && !signal.aborted) {
      const oldestMs = performance.now() - this.#dependencies.getRetentionMs()
      queue.pending = queue.pending.filter(({ atMs }) => atMs >= oldestMs)
      const [first] = queue.pending
      if (first === undefined) break
      const batch = queue.pending.filter(({ pool }) => pool === first.pool).slice(0, MAX_MESSAGE_STREAMS)
      if (await this.#send(queue, batch)) queue.pending = queue.pending.filter(stream => !batch.includes(stream))
      else await sleep(RETRY_INTERVAL_MS, signal)
    }
    queue.isSending = false
  }

  async #send ({ view }: PeerQueue, batch: PendingStream[]): Promise<boolean> {
    try {
      await this.#dependencies.call(view, 'streams.record', { pool: batch[0].pool, streams: batch.map(({ key, softwareVersion, mustStore }) => ({ key, softwareVersion, mustStore })) })
      return true
    } catch (error) {
      this.#dependencies.onFailed(view.vm, (error as Error).message)
      return false
    }
  }
}
