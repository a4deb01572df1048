#!/usr/bin/env node
import { runProgram } from 'knapweedshunt-settings'
import { createRng } from 'knapweedshunt-utils'
import { z } from 'zod'
import { buildPrompt } from './buildPrompt.ts'
import { callCompletion } from './callCompletion.ts'

const SHAPE = { manuals: 4, sections: 4, manualWords: 400, sectionWords: 200, caseWords: 40, skew: 1 }
const MAX_TOKENS = 16

/** Sends seeded nested-prefix requests one after another and prints the totals. */
await runProgram({
  name: 'knapweedshunt-load',
  description: 'Drives a router with nested-prefix traffic',
  settings: {
    routerUrl: { schema: z.url({ protocol: /^http$/ }), describe: 'the router\'s base URL', fallback: 'http://127.0.0.1:8080' },
    accessKey: { schema: z.string().min(1), describe: 'a caller\'s access key', secret: true },
    model: { schema: z.string().min(1), describe: 'a model name with a route' },
    requests: { schema: z.coerce.number().int().positive(), describe: 'the number of requests', fallback: '100' },
    seed: { schema: z.coerce.number().int(), describe: 'a seed', fallback: '1' }
  },
  async run (values, signal) {
    const rng = createRng(values.seed)
    const totals = { answered: 0, refused: 0, cut: 0, promptTokens: 0, cachedTokens: 0 }
    for (let i = 0; i < values.requests && !signal.aborted; i++) {
      const prompt = buildPrompt(SHAPE, 'load', rng)
      const result = await callCompletion({ url: values.routerUrl, accessKey: values.accessKey, model: values.model, prompt: prompt.text, marks: prompt.marks, maxTokens: MAX_TOKENS })
      totals[result.type]++
      if (result.type !== 'answered') continue
      totals.promptTokens += result.promptTokens
      totals.cachedTokens += result.cachedTokens
    }
    console.table([{ ...totals, hitRate: totals.cachedTokens / Math.max(1, totals.promptTokens) }])
  }
})
