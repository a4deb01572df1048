import http from 'node:http'
import { sleep } from 'knapweedshunt-utils'
import { callCompletion } from './callCompletion.ts'
import { callOrder } from './callOrder.ts'
import type { LoadOutcome, LoadRecord } from './loadRecord.ts'
import { planCalls } from './planCalls.ts'
import type { PlanOptions } from './planCalls.ts'
import type { PlannedCall } from './plannedCall.ts'
import { PrefixLedger } from './prefixLedger.ts'

/** Options of a run. */
export interface LoadOptions extends PlanOptions {
  /** Base URLs of the routers, used in turn as a balancer would. */
  routerUrls: string[]
  /** Longest wait for one order, in milliseconds. */
  orderTimeoutMs: number
  /** Told after each finished call. */
  onRecord?: (record: LoadRecord) => void
}

/** Makes all planned calls at their times, whether or not earlier ones have ended, and resolves to what became of them. */
export async function runLoad (options: LoadOptions, signal: AbortSignal): Promise<LoadRecord[]> {
  const agent = new http.Agent({ keepAlive: true })
  const ledger = new PrefixLedger()
  const records: LoadRecord[] = []
  const running: Array<Promise<void>> = []
  const startedAtMs = performance.now()
  let turn = 0
  for (const call of planCalls(options)) {
    await sleep(startedAtMs + call.atMs - performance.now(), signal)
    if (signal.aborted) break
    const url = options.routerUrls[turn++ % options.routerUrls.length]
    running.push(runPlanned(options, call, url, agent, ledger).then(record => {
      records.push(record)
      options.onRecord?.(record)
    }))
  }
  await Promise.all(running)
  agent.destroy()
  return records
}

async function runPlanned (options: LoadOptions, call: PlannedCall, url: string, agent: http.Agent, ledger: PrefixLedger): Promise<LoadRecord> {
  const outcome = await runCall(options, call, url, agent, ledger).catch((): LoadOutcome => ({ type: 'unreached' }))
  return { organisation: call.organisation.name, job: call.job.name, outcome }
}

async function runCall (options: LoadOptions, call: PlannedCall, url: string, agent: http.Agent, ledger: PrefixLedger): Promise<LoadOutcome> {
  const { job, prompt, organisation: { accessKey } } = call
  const startedAtMs = performance.now()
  if (job.type === 'order' || prompt === null) {
    const path = job.type === 'order' ? job.path : ''
    const result = await callOrder({ url, accessKey, path, key: call.key, timeoutMs: options.orderTimeoutMs, agent })
    return result.type === 'ran' ? { type: 'ordered', totalMs: performance.now() - startedAtMs } : { type: 'refused', code: result.code }
  }
  const reusableTokens = ledger.take(prompt.levels)
  const result = await callCompletion({ url, accessKey, model: job.model, prompt: prompt.text, marks: prompt.marks, maxTokens: job.maxTokens, agent })
  if (result.type === 'refused') return { type: 'refused', code: result.code }
  if (result.type === 'cut') return { type: 'cut' }
  const { firstTokenMs, promptTokens, cachedTokens } = result
  return { type: 'answered', firstTokenMs, totalMs: performance.now() - startedAtMs, promptTokens, cachedTokens, reusableTokens }
}
