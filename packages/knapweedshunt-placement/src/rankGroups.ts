import type { EndpointGroup } from './endpointGroup.ts'
import type { GroupChoice } from './groupChooser.ts'
import { hashSeeds, readKeySeed } from './hashSeed.ts'

/** Share of the local wait that another data centre may have at most to be used. */
const FREER_SHARE = 0.5

/** Ranks data centres for a key, so that a prefix which leaves its data centre meets itself again. */
export function rankGroups (key: string, groups: EndpointGroup[]): EndpointGroup[] {
  const seed = readKeySeed(key)
  return groups
    .map(group => ({ group, score: hashSeeds(seed, readKeySeed(group.dataCentre)) }))
    .sort((a, b) => b.score - a.score)
    .map(scored => scored.group)
}

/** Whether a group's reports show clearly less load than a local choice meets. */
export function isClearlyFreer (group: EndpointGroup, local: GroupChoice, nowMs: number): boolean {
  return group.isReported && group.countMeanWaitTokens(nowMs) < local.candidate.waitTokens * FREER_SHARE
}
