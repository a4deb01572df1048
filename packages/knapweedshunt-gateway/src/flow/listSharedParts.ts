import { hashText } from 'knapweedshunt-utils'
import type { Prompt } from '../ports/callerCall.ts'

/** Maximum number of shared parts of one prompt that are told apart; the outermost ones count. */
const MAX_SHARED_PARTS = 64

/** Length up to which a part's id is used as it is; longer ones are hashed. */
const MAX_ID_CHARS = 32

/** Lists the parts of a prompt that other requests may hold, whatever comes before them, each once. The last part belongs to the request or its session. */
export function listSharedParts (prompt: Prompt | null): string[] {
  const ids = prompt?.parts.slice(0, -1).slice(0, MAX_SHARED_PARTS).map(part => part.id.toLowerCase()) ?? []
  return [...new Set(ids.map(id => id.length > MAX_ID_CHARS ? hashText(id).slice(0, MAX_ID_CHARS) : id))]
}
