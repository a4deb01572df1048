import http from 'node:http'
import { sleep } from 'knapweedshunt-utils'
import { callCompletion } from './callCompletion.ts'
import { callOrder } from './callOrder.ts'
import type { LoadOutcome, LoadRecord } from './loadRecord.ts'
import { planCalls } from './planCalls.ts'
import type { PlanOptions } from './planCalls.ts'
import type { PlannedCall } from './plannedCall.ts'
import { SentPrefixTracker } from './sentPrefixTracker.ts'

/** Options of a load run. */
export interface LoadOptions extends PlanOptions {
  /** Base URLs of the routers; calls go to them round-robin, as from a load balancer. */
  routerUrls: string[]
  /** Timeout of one order, in milliseconds. */
  orderTimeoutMs: number
  /** Called after each finished call. */
  onRecord?: (record: LoadRecord) => void
}

/**
 * Sends each planned call at its time, whether or not earlier calls have ended (open-loop load), and resolves to one record per call.
 * Aborting the signal stops new calls; those in flight still finish and are included.
 */
export async function runLoad (options: LoadOptions, signal: AbortSignal): Promise<LoadRecord[]> {
  const agent = new http.Agent({ keepAlive: true })
  const tracker = new SentPrefixTracker()
  const records: LoadRecord[] = []
  const inFlightCalls: Array<Promise<void>> = []
  const startedAtMs = performance.now()
  let callCount = 0
  for (const call of planCalls(options)) {
    await sleep(startedAtMs + call.atMs - performance.now(), signal)
    if (signal.aborted) break
    const url = options.routerUrls[callCount++ % options.routerUrls.length]
    inFlightCalls.push(runPlannedCall(options, call, url, agent, tracker).then(record => {
      records.push(record)
      options.onRecord?.(record)
    }))
  }
  await Promise.all(inFlightCalls)
  agent.destroy()
  return records
}

async function runPlannedCall (options: LoadOptions, call: PlannedCall, url: string, agent: http.Agent, tracker: SentPrefixTracker): Promise<LoadRecord> {
  const outcome = await runCall(options, call, url, agent, tracker).catch((): LoadOutcome => ({ type: 'unreached' }))
  return { organisation: call.organisation.name, job: call.job.name, outcome }
}

async function runCall (options: LoadOptions, call: PlannedCall, url: string, agent: http.Agent, tracker: SentPrefixTracker): Promise<LoadOutcome> {
  const { job, prompt, organisation: { accessKey } } = call
  const startedAtMs = performance.now()
  if (job.type === 'order' || prompt === null) {
    const path = job.type === 'order' ? job.path : ''
    const result = await callOrder({ url, accessKey, path, key: call.key, timeoutMs: options.orderTimeoutMs, agent })
    return result.type === 'ran' ? { type: 'ordered', totalMs: performance.now() - startedAtMs } : { type: 'refused', code: result.code }
  }
  const reusableTokens = tracker.recordLevels(prompt.levels)
  const result = await callCompletion({ url, accessKey, model: job.model, prompt: prompt.text, marks: prompt.marks, maxTokens: job.maxTokens, agent })
  if (result.type === 'refused') return { type: 'refused', code: result.code }
  if (result.type === 'cut') return { type: 'cut' }
  const { firstTokenMs, promptTokens, cachedTokens } = result
  return { type: 'answered', firstTokenMs, totalMs: performance.now() - startedAtMs, promptTokens, cachedTokens, reusableTokens }
}
