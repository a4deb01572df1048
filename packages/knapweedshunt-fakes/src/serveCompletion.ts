import type { IncomingMessage, ServerResponse } from 'node:http'
import { hashText, parseJson, readBody, sendJsonResponse, sleep } from 'knapweedshunt-utils'
import { BLOCK_TOKENS, computeBlockKeys, splitTokens } from './computeBlockKeys.ts'
import { engineRequestSchema, buildPromptText } from './engineRequest.ts'
import type { EngineRequest } from './engineRequest.ts'
import type { EngineState } from './engineState.ts'
import { writeTokens } from './writeTokens.ts'

const MAX_BODY_BYTES = 16 * 1024 * 1024

/** Serves one completion as an event stream: numbered token events, a usage event, then `[DONE]`. */
export async function serveCompletion (state: EngineState, request: IncomingMessage, response: ServerResponse, crash: () => void): Promise<void> {
  const body = engineRequestSchema.safeParse(parseJson(await readBody(request, MAX_BODY_BYTES)))
  if (!body.success) return sendJsonResponse(response, 400, { error: { message: body.error.issues[0].message } })
  const prompt = buildPromptText(body.data)
  const { faults } = state
  state.received++
  if (faults.statedLimitPerS >= 0) response.setHeader('x-requests-per-second', String(faults.statedLimitPerS))
  if (faults.statesLeaving) response.setHeader('x-leaving', '1')
  if (faults.rejectStatus !== 0 && faults.retryAfterS >= 0) response.setHeader('retry-after', String(faults.retryAfterS))
  if (faults.crashOnText !== '' && prompt.includes(faults.crashOnText)) return crash()
  if (faults.rejectStatus !== 0) return sendJsonResponse(response, faults.rejectStatus, { error: { message: 'rejected by the fake engine' } })
  state.started++
  if (faults.hang) return
  if (faults.plainAnswer) return sendJsonResponse(response, 200, { text: 'whole' })
  state.running++
  const incarnationAtStart = state.incarnation
  try {
    await sendCompletion(state, body.data, prompt, request, response, crash)
  } finally {
    if (state.incarnation === incarnationAtStart) state.running--
  }
}

async function sendCompletion (state: EngineState, body: EngineRequest, prompt: string, request: IncomingMessage, response: ServerResponse, crash: () => void): Promise<void> {
  const attempt = String(request.headers['x-attempt-id'] ?? '')
  const tokens = splitTokens(prompt)
  const cachedTokens = await prefillPrompt(state, body, tokens)
  if (response.destroyed) return
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-endpoint-incarnation': state.incarnation,
    'x-weights-version': state.weightsVersion,
    'x-software-version': state.faults.softwareVersion
  })
  const isComplete = await writeTokens(state, { attempt, body, digest: hashText(prompt, String(body.seed)), crash }, response)
  if (!isComplete) return
  const usage = { prompt_tokens: tokens.length, completion_tokens: body.max_tokens, prompt_tokens_details: { cached_tokens: cachedTokens } }
  response.end(`data: ${JSON.stringify({ finish_reason: 'stop', usage })}\n\ndata: [DONE]\n\n`)
}

async function prefillPrompt (state: EngineState, body: EngineRequest, tokens: string[]): Promise<number> {
  const keys = computeBlockKeys(hashText(body.cache_salt, state.weightsVersion), tokens)
  const cachedTokens = state.cache.countCachedPrefix(keys) * BLOCK_TOKENS
  const uncachedTokens = tokens.length - cachedTokens
  const incarnationAtStart = state.incarnation
  state.queuedTokens += uncachedTokens
  await sleep(uncachedTokens * state.options.prefillMsPerToken)
  if (state.incarnation === incarnationAtStart) {
    state.queuedTokens -= uncachedTokens
    state.computedTokens += uncachedTokens
    state.storeBlocks(keys)
  }
  return cachedTokens
}
