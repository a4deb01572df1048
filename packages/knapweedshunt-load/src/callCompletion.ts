import http from 'node:http'
import { createParser } from 'eventsource-parser'
import { HttpError, readBody, waitForHead } from 'knapweedshunt-utils'

/** Parameters of one streamed completion request. */
export interface CompletionCall {
  url: string
  accessKey: string
  model: string
  prompt: string
  /** Character offsets at which nested levels end. */
  marks: number[]
  maxTokens: number
  headers?: Record<string, string>
  agent?: http.Agent
  /** Called with the headers of a response with status 200. */
  onHead?: (headers: http.IncomingHttpHeaders) => void
  /** Called after each non-empty text, with the number of texts received so far. */
  onText?: (count: number) => void
}

/** Outcome of a completion request; `refused` stands for any status other than 200. */
export type CompletionResult =
  | { type: 'answered', texts: string[], firstTokenMs: number, promptTokens: number, cachedTokens: number }
  | { type: 'refused', status: number, code: string }
  /** The stream ended or failed before `[DONE]`. */
  | { type: 'cut', texts: string[] }

interface Chunk {
  choices?: Array<{ text: string }>
  usage?: { prompt_tokens: number, prompt_tokens_details: { cached_tokens: number } } | null
  error?: { code: string }
}

const MAX_ERROR_BYTES = 65_536

/** Sends the request and reads the event stream. Throws HttpError when the connection fails before the response headers, or before the whole body of a refusal, arrive. */
export async function callCompletion (call: CompletionCall): Promise<CompletionResult> {
  const startedAtMs = performance.now()
  const message = await sendCall(call)
  if (message.statusCode !== 200) {
    const body = JSON.parse(await readBody(message, MAX_ERROR_BYTES)) as Chunk
    return { type: 'refused', status: message.statusCode ?? 0, code: body.error?.code ?? '' }
  }
  call.onHead?.(message.headers)
  return readStream(call, message, startedAtMs)
}

async function sendCall (call: CompletionCall): Promise<http.IncomingMessage> {
  const body = JSON.stringify({ model: call.model, prompt: call.prompt, stream: true, max_tokens: call.maxTokens })
  const headers: Record<string, string> = {
    authorization: `Bearer ${call.accessKey}`,
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
    ...call.headers
  }
  if (call.marks.length > 0) headers['x-prefix-marks'] = call.marks.join(',')
  const request = http.request(`${call.url}/v1/completions`, { method: 'POST', headers, agent: call.agent })
  request.end(body)
  try {
    return await waitForHead(request)
  } catch (cause) {
    throw new HttpError('The connection to the router failed.', { cause })
  }
}

async function readStream (call: CompletionCall, message: http.IncomingMessage, startedAtMs: number): Promise<CompletionResult> {
  const texts: string[] = []
  let firstTokenMs = 0
  const usageChunks: Chunk[] = []
  let isDone = false
  const parser = createParser({
    onEvent ({ data }) {
      if (data === '[DONE]') {
        isDone = true
        return
      }
      const chunk = JSON.parse(data) as Chunk
      const text = chunk.choices?.[0]?.text ?? ''
      if (text !== '') {
        if (texts.push(text) === 1) firstTokenMs = performance.now() - startedAtMs
        call.onText?.(texts.length)
      }
      if (chunk.usage) usageChunks.push(chunk)
    }
  })
  message.setEncoding('utf8')
  try {
    for await (const piece of message) parser.feed(piece as string)
  } catch {
    // Nothing of the stream is missing if its connection fails behind `[DONE]`.
    if (message.errored === null) return { type: 'cut', texts }
  }
  if (!isDone) return { type: 'cut', texts }
  const usage = usageChunks.at(-1)?.usage
  return { type: 'answered', texts, firstTokenMs, promptTokens: usage?.prompt_tokens ?? 0, cachedTokens: usage?.prompt_tokens_details.cached_tokens ?? 0 }
}
