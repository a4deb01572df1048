import { z } from 'zod'

const message = z.object({ role: z.string(), content: z.string() })

/** Fields of a completion request that the fake engine reads; others are ignored. */
export const engineRequestSchema = z.object({
  prompt: z.string().optional(),
  messages: z.array(message).optional(),
  max_tokens: z.number().int().positive().default(16),
  seed: z.number().int().default(0),
  priority: z.number().int().default(0),
  cache_salt: z.string().default(''),
  resume_from: z.number().int().nonnegative().default(0)
})

/** A validated completion request with defaults filled in. */
export type EngineRequest = z.output<typeof engineRequestSchema>

/** Returns the prompt, or the chat messages joined into one text. */
export function buildPromptText (request: EngineRequest): string {
  if (request.prompt !== undefined) return request.prompt
  return (request.messages ?? []).map(part => `${part.role}: ${part.content}\n`).join('')
}
