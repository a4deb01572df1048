import type { EndpointGroup } from './endpointGroup.ts'
import type { GroupChoice } from './groupChooser.ts'
import { hashSeeds, parseKeySeed } from './hashSeed.ts'

/** Another data centre is used only if its mean wait is below this share of the local wait. */
const MAX_REMOTE_WAIT_SHARE = 0.5

/** Ranks data centres for a key by rendezvous hashing, so that requests with the same prefix spill over to the same data centre. */
export function rankGroups (key: string, groups: EndpointGroup[]): EndpointGroup[] {
  const seed = parseKeySeed(key)
  return groups
    .map(group => ({ group, score: hashSeeds(seed, parseKeySeed(group.dataCentre)) }))
    .sort((a, b) => b.score - a.score)
    .map(scored => scored.group)
}

/** Whether the load reports of a group show a clearly shorter wait than that of the local choice. */
export function isClearlyLessLoaded (group: EndpointGroup, local: GroupChoice, nowMs: number): boolean {
  return group.hasLoadReport && group.countMeanWaitTokens(nowMs) < local.candidate.waitTokens * MAX_REMOTE_WAIT_SHARE
}
