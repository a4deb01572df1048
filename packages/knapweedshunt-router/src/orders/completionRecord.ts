import type { Usage } from 'knapweedshunt-attempts'
import type { RecordedAnswer } from 'knapweedshunt-types'
import { z } from 'zod'
import type { CallerSink } from '../callerSink.ts'

/** Content type of a recorded completion: `{ texts, usage }`, one text per token. */
export const COMPLETION_CONTENT_TYPE = 'application/vnd.knapweedshunt.completion+json'

const HTTP_OK = 200
const completionRecordSchema = z.object({
  texts: z.array(z.string()),
  usage: z.object({ promptTokens: z.number(), completionTokens: z.number(), cachedTokens: z.number() }).nullable()
})

/** Builds the recorded answer of a complete completion. `usage` is null when the engine reported none. */
export function buildCompletionRecord (texts: string[], usage: Usage | null): RecordedAnswer {
  return { status: HTTP_OK, contentType: COMPLETION_CONTENT_TYPE, body: JSON.stringify({ texts, usage }) }
}

/** Delivers a recorded answer to the caller. A completion is delivered token by token, starting at token `resumeFrom`. Throws ZodError when the recorded completion is malformed. */
export function deliverRecordedAnswer (sink: CallerSink, record: RecordedAnswer, resumeFrom: number): void {
  if (record.contentType !== COMPLETION_CONTENT_TYPE) {
    sink.deliverAnswer(record)
    return sink.finish(null)
  }
  const { texts, usage } = completionRecordSchema.parse(JSON.parse(record.body))
  texts.forEach((text, n) => { if (n >= resumeFrom) sink.deliver(n, text) })
  sink.finish(usage)
}
