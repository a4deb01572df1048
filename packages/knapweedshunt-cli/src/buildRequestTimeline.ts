/** One parsed line of a router log; `time` is in milliseconds since the epoch. */
interface LogLine {
  message: string
  time: number
  context: Record<string, string | number | boolean | null>
}

/** Time before and after a request in which events of its endpoints and its VM are included in its timeline. */
const RELATED_WINDOW_MS = 5_000

/** Fields left out of the timeline because they say nothing about the request. */
const OMITTED_FIELDS = ['part', 'logLevel', 'requestId', 'decision']

/** Builds the timeline of one request from log text: the lines of the request, marked `*`, and events of its endpoints and its VM around it. Each line may have a prefix before its JSON. Empty if no line has the request id. */
export function buildRequestTimeline (text: string, requestId: string): string[] {
  const lines = text.split('\n').map(parseLogLine).filter(line => line !== null)
  const requestLines = lines.filter(line => line.context.requestId === requestId)
  if (requestLines.length === 0) return []
  const endpoints = new Set(requestLines.map(line => line.context.endpoint).filter(name => name !== undefined))
  const fingerprints = new Set(requestLines.map(line => line.context.fingerprint))
  const [fromMs, toMs] = [Math.min(...requestLines.map(line => line.time)), Math.max(...requestLines.map(line => line.time))]
  const relatedLines = lines.filter(line => line.context.requestId === undefined && isConcurrent(line, fromMs, toMs) && isRelated(line, endpoints, fingerprints))
  const timeline = [...requestLines, ...relatedLines].sort((a, b) => a.time - b.time)
  return timeline.map(line => `${String(Math.round(line.time - fromMs)).padStart(7)} ms  ${line.context.requestId === undefined ? '  ' : '* '}${formatLogLine(line)}`)
}

function isConcurrent (line: LogLine, fromMs: number, toMs: number): boolean {
  return line.time >= fromMs - RELATED_WINDOW_MS && line.time <= toMs + RELATED_WINDOW_MS
}

/** A line about a suspect request concerns only the request with its fingerprint. */
function isRelated (line: LogLine, endpoints: Set<unknown>, fingerprints: Set<unknown>): boolean {
  if (line.context.fingerprint !== undefined) return fingerprints.has(line.context.fingerprint)
  if (line.context.endpoint !== undefined) return endpoints.has(line.context.endpoint)
  return line.context.decision !== undefined || line.context.table !== undefined
}

function formatLogLine ({ message, context }: LogLine): string {
  const fields = Object.entries(context).filter(([name]) => !OMITTED_FIELDS.includes(name)).map(([name, value]) => `${name}=${value}`)
  return `${message} ${fields.join(' ')}`
}

function parseLogLine (line: string): LogLine | null {
  const start = line.indexOf('{')
  if (start === -1) return null
  try {
    const parsed = JSON.parse(line.slice(start)) as Partial<LogLine>
    return typeof parsed.message === 'string' && typeof parsed.time === 'number' && typeof parsed.context === 'object' ? parsed as LogLine : null
  } catch {
    // The stream may contain output of other programs.
    return null
  }
}
