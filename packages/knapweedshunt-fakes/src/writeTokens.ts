import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { sleep } from 'knapweedshunt-utils'
import type { EngineRequest } from './engineRequest.ts'
import type { EngineState } from './engineState.ts'

/** One generation of tokens for a completion request. */
export interface Generation {
  attempt: string
  body: EngineRequest
  /** Hash of prompt and seed; equal digests give equal tokens. */
  digest: string
  crash: () => void
}

const WORDS = ['lift', 'floor', 'room', 'towel', 'door', 'panel', 'labour', 'code']
const DIGEST_OFFSET_COUNT = 60

/** Writes the token events and applies the configured faults. Returns whether all tokens were written, so that the usage event may follow. */
export async function writeTokens (state: EngineState, generation: Generation, response: ServerResponse): Promise<boolean> {
  const { body, attempt } = generation
  for (let n = body.resume_from; n < body.max_tokens; n++) {
    await sleep(state.options.tokenMs + state.faults.slowMs)
    if (state.cancelled.delete(attempt)) response.destroy()
    if (response.destroyed) return false
    if (applyFault(state, generation, response, n - body.resume_from)) return false
    if (!response.write(formatTokenEvents(state, generation, n))) await Promise.race([once(response, 'drain'), once(response, 'close')])
  }
  return true
}

/** Returns whether a fault ended the generation. */
function applyFault (state: EngineState, { crash }: Generation, response: ServerResponse, sentCount: number): boolean {
  const { faults } = state
  if (sentCount === faults.hangAfterTokens) return true
  if (sentCount === faults.crashAfterTokens) {
    faults.crashAfterTokens = -1
    crash()
    return true
  }
  if (sentCount === faults.malformedAfterTokens) response.write('data: {"text":\n\n')
  if (sentCount === faults.truncateAfterTokens) response.end('data: [DONE]\n\n')
  if (sentCount === faults.resetAfterTokens) response.destroy()
  return sentCount === faults.truncateAfterTokens || sentCount === faults.resetAfterTokens
}

function formatTokenEvents ({ faults }: EngineState, { digest, body }: Generation, n: number): string {
  const offset = n - body.resume_from
  const neighbour = offset % 2 === 0 ? n + 1 : n - 1
  const tokenIndex = faults.swapTokens && neighbour < body.max_tokens ? neighbour : n
  const event = formatTokenEvent(digest, tokenIndex)
  return faults.doubleTokens ? event + event : event
}

function formatTokenEvent (digest: string, n: number): string {
  const word = WORDS[parseInt(digest.slice(n % DIGEST_OFFSET_COUNT, n % DIGEST_OFFSET_COUNT + 2), 16) % WORDS.length]
  return `id: ${n}\ndata: ${JSON.stringify({ text: `${word}${n} ` })}\n\n`
}
