/** One line of a router's log, as read. */
interface LogLine {
  message: string
  time: number
  context: Record<string, string | number | boolean | null>
}

/** Time around a request in which what happened to its endpoints and to its VM belongs to its story, in milliseconds. */
const AROUND_MS = 5_000

/** Fields that say nothing of the request. */
const HIDDEN_FIELDS = ['part', 'logLevel', 'requestId', 'decision']

/** Builds the story of one request from lines of log: its own, and what happened to its endpoints around it. Lines may carry words before their JSON. */
export function tellStory (text: string, requestId: string): string[] {
  const lines = text.split('\n').map(readLine).filter(line => line !== null)
  const own = lines.filter(line => line.context.requestId === requestId)
  if (own.length === 0) return []
  const endpoints = new Set(own.map(line => line.context.endpoint).filter(name => name !== undefined))
  const [fromMs, toMs] = [Math.min(...own.map(line => line.time)), Math.max(...own.map(line => line.time))]
  const around = lines.filter(line => line.context.requestId === undefined && isAround(line, endpoints, fromMs, toMs))
  const story = [...own, ...around].sort((a, b) => a.time - b.time)
  return story.map(line => `${String(Math.round(line.time - fromMs)).padStart(7)} ms  ${line.context.requestId === undefined ? '  ' : '* '}${describeLine(line)}`)
}

function isAround (line: LogLine, endpoints: Set<unknown>, fromMs: number, toMs: number): boolean {
  if (line.time < fromMs - AROUND_MS || line.time > toMs + AROUND_MS) return false
  if (line.context.endpoint !== undefined) return endpoints.has(line.context.endpoint)
  return line.context.decision !== undefined || line.context.table !== undefined
}

function describeLine ({ message, context }: LogLine): string {
  const fields = Object.entries(context).filter(([name]) => !HIDDEN_FIELDS.includes(name)).map(([name, value]) => `${name}=${value}`)
  return `${message} ${fields.join(' ')}`
}

function readLine (line: string): LogLine | null {
  const start = line.indexOf('{')
  if (start === -1) return null
  try {
    const read = JSON.parse(line.slice(start)) as Partial<LogLine>
    return typeof read.message === 'string' && typeof read.time === 'number' && typeof read.context === 'object' ? read as LogLine : null
  } catch {
    // Other programs may write to the same stream.
    return null
  }
}
