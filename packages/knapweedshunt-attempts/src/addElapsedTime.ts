import { match } from 'ts-pattern'
import type { MarkedCrash, SuspectMark } from './suspectMark.ts'

/** Returns the mark with its ages and remaining time adjusted by the time that has passed since it was made. */
export function addElapsedTime (mark: SuspectMark, elapsedMs: number): SuspectMark {
  return match(mark)
    .returnType<SuspectMark>()
    .with({ type: 'crashed' }, crashed => ({ ...crashed, crashes: addToAges(crashed.crashes, elapsedMs) }))
    .with({ type: 'quarantined' }, quarantined => ({ ...quarantined, forMs: Math.max(0, quarantined.forMs - elapsedMs), ...quarantined.crashes !== undefined && { crashes: addToAges(quarantined.crashes, elapsedMs) } }))
    .with({ type: 'cleared' }, cleared => cleared)
    .exhaustive()
}

function addToAges (crashes: MarkedCrash[], elapsedMs: number): MarkedCrash[] {
  return crashes.map(crash => ({ ...crash, startedAgeMs: crash.startedAgeMs + elapsedMs, crashedAgeMs: crash.crashedAgeMs + elapsedMs }))
}
