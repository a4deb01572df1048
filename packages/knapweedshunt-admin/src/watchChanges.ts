import type { IncomingMessage, ServerResponse } from 'node:http'
import { describeRevision } from 'knapweedshunt-resources'
import type { ChangesAnswer, ResourceOp, Revision } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import { z } from 'zod'
import type { AdminContext } from './adminContext.ts'
import { createAdminError } from './adminError.ts'
import { isVisible } from './isVisible.ts'
import type { OperatorRole } from './operatorKey.ts'
import { readEvidence } from './readEvidence.ts'

const POLL_MS = 250
const IN_FORCE_MS = 1_000
const HEARTBEAT_MS = 10_000

const afterSchema = z.coerce.number().int().nonnegative()

/** One event of a watch: `change` (one accepted change), `reset` (all resources, when the changes asked for are no longer kept) or `status` (how far the newest revision is). */
export interface WatchEvent {
  event: 'change' | 'reset' | 'status'
  /** Revision to resume from. */
  id: Revision
  data: unknown
}

/** Streams what happens after a revision as server-sent events, until the caller goes away or `stopping` aborts. Reads the local control, so watches cost the platform nothing but its VM list while a revision is not yet in force. */
export async function watchChanges (context: AdminContext, role: OperatorRole, message: IncomingMessage, response: ServerResponse, stopping: AbortSignal): Promise<void> {
  const watch = new Watch(context, role, parseAfter(message), response)
  const closing = new AbortController()
  const close = () => closing.abort()
  response.once('close', close)
  stopping.addEventListener('abort', close, { once: true })
  response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
  while (!closing.signal.aborted) {
    await watch.step()
    await sleep(POLL_MS, closing.signal)
  }
  stopping.removeEventListener('abort', close)
  response.end()
}

/** The revision comes from `Last-Event-ID` when a client reconnects, else from `after`, else 0. */
function parseAfter (message: IncomingMessage): Revision {
  const url = new URL(message.url ?? '/', 'http://admin')
  const text = message.headers['last-event-id'] ?? url.searchParams.get('after') ?? '0'
  const after = afterSchema.safeParse(text)
  if (!after.success) throw createAdminError(400, 'after_invalid', `after is "${String(text)}": it must be a revision, a whole number from 0.`)
  return after.data
}

class Watch {
  readonly #context: AdminContext
  readonly #role: OperatorRole
  readonly #response: ServerResponse
  #after: Revision
  #statusText = ''
  #statusAtMs = -Infinity
  #sentAtMs = performance.now()

  constructor (context: AdminContext, role: OperatorRole, after: Revision, response: ServerResponse) {
    this.#context = context
    this.#role = role
    this.#after = after
    this.#response = response
  }

  /** Sends what is new. A control that does not answer is asked again at the next step. */
  async step (): Promise<void> {
    try {
      const answer = await this.#context.control.call('control.changes', { after: this.#after }) as ChangesAnswer
      this.#sendChanges(answer)
      await this.#sendStatus(answer.revision)
    } catch {
      this.#response.write(': control does not answer\n\n')
    }
    if (performance.now() - this.#sentAtMs >= HEARTBEAT_MS) this.#beat()
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

  /** Tells how far the newest revision is: when it came, and then whenever that changed. */
  async #sendStatus (revision: Revision): Promise<void> {
    if (revision === 0 || performance.now() - this.#statusAtMs < IN_FORCE_MS) return
    this.#statusAtMs = performance.now()
    const { evidence } = await readEvidence(this.#context)
    const condition = describeRevision(revision, evidence)
    const text = JSON.stringify({ revision, condition })
    if (text === this.#statusText) return
    this.#statusText = text
    this.#send({ event: 'status', id: revision, data: { revision, condition } })
  }

  #isVisibleOp (op: ResourceOp): boolean {
    if (this.#role.type !== 'organisation') return true
    return op.type === 'put' && isVisible(this.#role, op.resource)
  }

  #send ({ event, id, data }: WatchEvent): void {
    this.#sentAtMs = performance.now()
    this.#response.write(`event: ${event}\nid: ${id}\ndata: ${JSON.stringify(data)}\n\n`)
  }

  #beat (): void {
    this.#sentAtMs = performance.now()
    this.#response.write(': heartbeat\n\n')
  }
}
