import type { MemoryPart } from 'knapweedshunt-admission'
import type { RequestPlan } from './requestPlan.ts'

/** Lists what a request holds in the memory of an engine: the parts of its prompt, which others may share, and what it generates at most. */
export function listMemoryParts ({ call, levels }: Pick<RequestPlan, 'call' | 'levels'>): MemoryPart[] {
  const parts = levels.map(({ key, tokens }, n): MemoryPart => ({ key, tokens: tokens - (levels[n - 1]?.tokens ?? 0), isShared: n < levels.length - 1 }))
  return [...parts, { key: `output of ${call.requestId}`, tokens: call.tokenUsage?.maxOutputTokens ?? 0, isShared: false }]
}
