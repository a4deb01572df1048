import { buildArraySchema } from 'knapweedshunt-platform'
import { z } from 'zod'

const textPart = z.object({ type: z.literal('text'), text: z.string() })
const message = z.looseObject({ role: z.string().min(1), content: z.union([z.string(), buildArraySchema(textPart)]) })
const common = {
  model: z.string().min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().optional(),
  seed: z.number().int().optional()
}

/** Body of `/v1/completions`. */
export const completionSchema = z.looseObject({ ...common, prompt: z.string().min(1) })

/** Body of `/v1/chat/completions`. */
export const chatCompletionSchema = z.looseObject({ ...common, messages: buildArraySchema(message).refine(messages => messages.length > 0, 'expected at least one message') })
