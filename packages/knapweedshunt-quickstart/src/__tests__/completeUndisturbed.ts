import { PROMPT } from './hotelResources.ts'
import type { RouterHarness } from './startRouterHarness.ts'

/** Sends the prompt before any fault is set; returns the texts of the answer and the index of the engine that answered. */
export async function completeUndisturbed (harness: RouterHarness): Promise<{ texts: string[], engineIndex: number }> {
  const result = await harness.requestCompletion(PROMPT)
  if (result.type !== 'answered') throw new Error(`completion without faults was not answered: ${JSON.stringify(result)}`)
  return { texts: result.texts, engineIndex: harness.engines.findIndex(engine => engine.state.started > 0) }
}
