import type { IncomingMessage, ServerResponse } from 'node:http'
import { describeRevision } from 'knapweedshunt-resources'
import type { ChangesAnswer, ResourceOperation, Revision } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import { z } from 'zod'
import type { AdminContext } from './adminContext.ts'
import { createAdminError } from './adminError.ts'
import { isVisible } from './isVisible.ts'
import type { OperatorRole } from './operatorKey.ts'
import { readStatusSources } from './readStatusSources.ts'

const POLL_INTERVAL_MS = 250
const STATUS_INTERVAL_MS = 1_000
const HEARTBEAT_INTERVAL_MS = 10_000

const afterSchema = z.coerce.number().int().nonnegative()

/** One event of a watch: `change` (one accepted change), `reset` (all resources, when the requested changes are no longer retained) or `status` (whether the newest revision is in force). */
export interface WatchEvent {
  event: 'change' | 'reset' | 'status'
  /** Revision from which a client resumes. */
  id: Revision
  data: unknown
}

/** Streams the changes and status after a revision as server-sent events, until the client disconnects or `stopSignal` aborts. Reads from the local control, so that the only load a watch puts on the platform is one read of its VM list per status interval. */
export async function watchChanges (context: AdminContext, role: OperatorRole, message: IncomingMessage, response: ServerResponse, stopSignal: AbortSignal): Promise<void> {
  const stream = new ChangeStream(context, role, parseAfter(message), response)
  const closeController = new AbortController()
  const close = () => closeController.abort()
  response.once('close', close)
  stopSignal.addEventListener('abort', close, { once: true })
  response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
  while (!closeController.signal.aborted) {
    await stream.sendUpdates()
    await sleep(POLL_INTERVAL_MS, closeController.signal)
  }
  stopSignal.removeEventListener('abort', close)
  response.end()
}

/** Reads the revision from `Last-Event-ID`, which a reconnecting client sends, else from `after`, else 0. */
function parseAfter (message: IncomingMessage): Revision {
  const url = new URL(message.url ?? '/', 'http://admin')
  const requested = message.headers['last-event-id'] ?? url.searchParams.get('after') ?? '0'
  const parsed = afterSchema.safeParse(requested)
  if (!parsed.success) throw createAdminError(400, 'after_invalid', `after is "${String(requested)}": it must be a revision, an integer of at least 0.`)
  return parsed.data
}

class ChangeStream {
  readonly #context: AdminContext
  readonly #role: OperatorRole
  readonly #response: ServerResponse
  #after: Revision
  #lastStatusText = ''
  #lastStatusReadAtMs = -Infinity
  #lastSentAtMs = performance.now()

  constructor (context: AdminContext, role: OperatorRole, after: Revision, response: ServerResponse) {
    this.#context = context
    this.#role = role
    this.#after = after
    this.#response = response
  }

  /** Sends new changes and a changed status. When the local control does not answer, the next call retries. */
  async sendUpdates (): Promise<void> {
    try {
      const answer = await this.#context.control.call('control.changes', { after: this.#after }) as ChangesAnswer
      this.#sendChanges(answer)
      await this.#sendStatus(answer.revision)
    } catch {
      this.#response.write(': control does not answer\n\n')
    }
    if (performance.now() - this.#lastSentAtMs >= HEARTBEAT_INTERVAL_MS) this.#sendHeartbeat()
  }

  #sendChanges ({ revision, changes, snapshot }: ChangesAnswer): void {
    for (const change of changes ?? []) {
      this.#send({ event: 'change', id: change.revision, data: { revision: change.revision, ops: change.ops.filter(op => this.#isVisibleOp(op)) } })
    }
    if (snapshot !== null && snapshot.revision > this.#after) {
      this.#send({ event: 'reset', id: snapshot.revision, data: { revision, resources: snapshot.resources.filter(resource => isVisible(this.#role, resource)) } })
    }
    this.#after = Math.max(this.#after, revision)
  }

  /** Sends the in-force status of the newest revision, at most once per interval and only when it differs from the last one sent. */
  async #sendStatus (revision: Revision): Promise<void> {
    if (revision === 0 || performance.now() - this.#lastStatusReadAtMs < STATUS_INTERVAL_MS) return
    this.#lastStatusReadAtMs = performance.now()
    const { inputs } = await readStatusSources(this.#context)
    const condition = describeRevision(revision, inputs)
    const text = JSON.stringify({ revision, condition })
    if (text === this.#lastStatusText) return
    this.#lastStatusText = text
    this.#send({ event: 'status', id: revision, data: { revision, condition } })
  }

  #isVisibleOp (op: ResourceOperation): boolean {
    if (this.#role.type !== 'organisation') return true
    return op.type === 'put' && isVisible(this.#role, op.resource)
  }

  #send ({ event, id, data }: WatchEvent): void {
    this.#lastSentAtMs = performance.now()
    this.#response.write(`event: ${event}\nid: ${id}\ndata: ${JSON.stringify(data)}\n\n`)
  }

  #sendHeartbeat (): void {
    this.#lastSentAtMs = performance.now()
    this.#response.write(': heartbeat\n\n')
  }
}
