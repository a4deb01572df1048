import { match } from 'ts-pattern'
import { MAX_MARK_CLEARED_IDS } from './suspectMark.ts'
import type { SuspectMark } from './suspectMark.ts'

/**
 * Returns the marks to tell of one request instead of those told before and a new one: at most one of crashes, the latest,
 * and one of all clearings, since a peer may not have read an earlier clearing yet. Crashes that are cleared are left out.
 */
export function joinMarks (known: readonly SuspectMark[], mark: SuspectMark): SuspectMark[] {
  const ofCrashes = [...known, mark].findLast(({ type }) => type !== 'cleared')
  const { fingerprint } = mark
  const crashIds = [...known, mark].flatMap(one => one.type === 'cleared' ? one.crashIds : [])
  const isClearing = [...known, mark].some(({ type }) => type === 'cleared')
  const cleared: SuspectMark[] = isClearing ? [{ type: 'cleared', fingerprint, crashIds: [...new Set(crashIds)].slice(-MAX_MARK_CLEARED_IDS) }] : []
  const crashed = ofCrashes === undefined ? null : removeCleared(ofCrashes, new Set(crashIds))
  return crashed === null ? cleared : [...cleared, crashed]
}

/** Returns the mark without the crashes that are cleared; null if none is left. */
function removeCleared (mark: SuspectMark, clearedIds: ReadonlySet<string>): SuspectMark | null {
  return match(mark)
    .returnType<SuspectMark | null>()
    .with({ type: 'cleared' }, () => null)
    .with({ type: 'crashed' }, { type: 'quarantined' }, ofCrashes => {
      const { fingerprint, crashes } = ofCrashes
      const left = crashes?.filter(({ ids }) => !ids.some(id => clearedIds.has(id)))
      if (crashes === undefined || left === undefined || left.length === crashes.length) return ofCrashes
      return left.length === 0 ? null : { type: 'crashed', fingerprint, crashes: left }
    })
    .exhaustive()
}
