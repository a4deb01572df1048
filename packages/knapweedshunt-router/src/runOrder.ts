import type { Usage, WholeAnswer } from 'knapweedshunt-attempts'
import type { OrderRequest } from 'knapweedshunt-orders'
import type { Ran, RecordedAnswer } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import { createCallerError } from './callerError.ts'
import type { CallerErrorInstance } from './callerError.ts'
import type { CallerRequest } from './callerRequest.ts'
import type { CallerSink } from './callerSink.ts'
import type { DataPath } from './dataPath.ts'
import { RequestTask } from './requestTask.ts'

const RETRY_AFTER_MS = 1_000

/** Keeps the answer beside passing it on. */
class RecordingSink implements CallerSink {
  readonly #sink: CallerSink
  readonly #texts: string[] = []
  ran: Ran = 'may-have-run'
  answer: RecordedAnswer | null = null

  constructor (sink: CallerSink) {
    this.#sink = sink
  }

  deliver (n: number, text: string): void {
    this.#texts.push(text)
    this.#sink.deliver(n, text)
  }

  deliverAnswer (answer: WholeAnswer): void {
    this.answer = answer
    this.#sink.deliverAnswer(answer)
  }

  finish (usage: Usage | null): void {
    this.ran = 'ran'
    this.answer ??= { status: 200, contentType: 'text/plain', body: this.#texts.join('') }
    this.#sink.finish(usage)
  }

  fail (error: CallerErrorInstance): void {
    this.ran = error.ran
    this.#sink.fail(error)
  }
}

/** Runs a non-repeatable request at most once: claim, send, record. Throws CallerError when nothing was sent. */
export async function runOrder (path: DataPath, request: CallerRequest, sink: CallerSink): Promise<void> {
  const order = nameOrder(request)
  const claim = await path.orders.claim(order)
  await match(claim)
    .with({ type: 'claimed' }, async ({ nonce }) => {
      const recording = new RecordingSink(sink)
      await new RequestTask(path, { ...request, repeatable: false }, recording).run(new AbortController().signal)
      await path.orders.settle(order, nonce, recording.ran, recording.answer)
    })
    .with({ type: 'known' }, ({ ran, answer }) => answerKnown(sink, ran, answer))
    .with({ type: 'mismatch' }, () => {
      throw createCallerError('idempotency_key_reused', 'The idempotency key was used for another request: choose a new one.')
    })
    .with({ type: 'unreadable' }, () => {
      throw createCallerError('order_store_unreadable', 'The order store does not answer; this attempt started nothing. Ask again with the same key.', 'may-have-run', RETRY_AFTER_MS)
    })
    .exhaustive()
}

function nameOrder (request: CallerRequest): OrderRequest {
  if (request.idempotencyKey === null) throw createCallerError('idempotency_key_required', 'The route may not be repeated: send an Idempotency-Key.')
  return { organisation: request.organisation, key: request.idempotencyKey, digest: request.digest }
}

function answerKnown (sink: CallerSink, ran: Ran, answer: RecordedAnswer | null): void {
  if (answer !== null) return sink.deliverAnswer(answer)
  switch (ran) {
    case 'in-progress':
      throw createCallerError('order_in_progress', 'The order is running: ask for its outcome later.', ran, RETRY_AFTER_MS)
    case 'not-run':
      throw createCallerError('no_endpoint', 'The order did not run: place it again with a new key.', ran)
    case 'ran':
    case 'may-have-run':
      throw createCallerError('order_may_have_run', 'The order may have run, and its answer is not known.', ran)
  }
}
