import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { sleep } from 'knapweedshunt-utils'
import type { EngineRequest } from './engineRequest.ts'
import type { EngineState } from './engineState.ts'

/** One generation. */
export interface Generation {
  attempt: string
  body: EngineRequest
  /** Hash of prompt and seed; equal ones give equal tokens. */
  digest: string
  crash: () => void
}

const WORDS = ['lift', 'floor', 'room', 'towel', 'door', 'panel', 'labour', 'code']
const DIGEST_SPAN = 60

/** Writes the tokens, with the faults switched on; returns whether the stream may be ended as whole. */
export async function writeTokens (state: EngineState, generation: Generation, response: ServerResponse): Promise<boolean> {
  const { body, attempt } = generation
  for (let n = body.resume_from; n < body.max_tokens; n++) {
    await sleep(state.options.tokenMs + state.faults.slowMs)
    if (state.cancelled.delete(attempt)) response.destroy()
    if (response.destroyed) return false
    if (applyFault(state, generation, response, n - body.resume_from)) return false
    if (!response.write(describeTokens(state, generation, n))) await Promise.race([once(response, 'drain'), once(response, 'close')])
  }
  return true
}

/** Returns whether a fault ended the generation. */
function applyFault (state: EngineState, { crash }: Generation, response: ServerResponse, count: number): boolean {
  const { faults } = state
  if (count === faults.hangAfterTokens) return true
  if (count === faults.crashAfterTokens) {
    faults.crashAfterTokens = -1
    crash()
    return true
  }
  if (count === faults.malformedAfterTokens) response.write('data: {"text":\n\n')
  if (count === faults.truncateAfterTokens) response.end('data: [DONE]\n\n')
  if (count === faults.resetAfterTokens) response.destroy()
  return count === faults.truncateAfterTokens || count === faults.resetAfterTokens
}

function describeTokens ({ faults }: EngineState, { digest, body }: Generation, n: number): string {
  const offset = n - body.resume_from
  const swapped = offset % 2 === 0 ? n + 1 : n - 1
  const shown = faults.swapTokens && swapped < body.max_tokens ? swapped : n
  const event = describeToken(digest, shown)
  return faults.doubleTokens ? event + event : event
}

function describeToken (digest: string, n: number): string {
  const word = WORDS[parseInt(digest.slice(n % DIGEST_SPAN, n % DIGEST_SPAN + 2), 16) % WORDS.length]
  return `id: ${n}\ndata: ${JSON.stringify({ text: `${word}${n} ` })}\n\n`
}
