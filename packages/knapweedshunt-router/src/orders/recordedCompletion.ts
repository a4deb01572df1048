import type { Usage } from 'knapweedshunt-attempts'
import type { RecordedAnswer } from 'knapweedshunt-types'
import { z } from 'zod'
import type { CallerSink } from '../callerSink.ts'

/** Content type of a recorded completion: `{ texts, usage }`, one text per token. */
export const COMPLETION_TYPE = 'application/vnd.knapweedshunt.completion+json'

const HTTP_OK = 200
const completionRecord = z.object({
  texts: z.array(z.string()),
  usage: z.object({ promptTokens: z.number(), completionTokens: z.number(), cachedTokens: z.number() }).nullable()
})

/** Builds the record of a whole completion. */
export function buildCompletionRecord (texts: string[], usage: Usage | null): RecordedAnswer {
  return { status: HTTP_OK, contentType: COMPLETION_TYPE, body: JSON.stringify({ texts, usage }) }
}

/** Gives a recorded answer to a caller in the form it asked for, from token `resumeFrom` on. */
export function deliverRecord (sink: CallerSink, record: RecordedAnswer, resumeFrom: number): void {
  if (record.contentType !== COMPLETION_TYPE) {
    sink.deliverAnswer(record)
    return sink.finish(null)
  }
  const { texts, usage } = completionRecord.parse(JSON.parse(record.body))
  texts.forEach((text, n) => { if (n >= resumeFrom) sink.deliver(n, text) })
  sink.finish(usage)
}
