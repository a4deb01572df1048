import type { CallerCall } from '../ports/callerCall.ts'

/** Computes the part of an engine that a request holds: one of its places, or its tokens of the engine's memory if that is more; `memoryTokens` is null where the memory is not known. */
export function computeEngineShare ({ tokenUsage, prompt }: Pick<CallerCall, 'tokenUsage' | 'prompt'>, slots: number, memoryTokens: number | null): number {
  const tokens = tokenUsage === null ? prompt?.tokens ?? 0 : tokenUsage.promptTokens + tokenUsage.maxOutputTokens
  return Math.max(1 / slots, memoryTokens === null ? 0 : tokens / memoryTokens)
}
