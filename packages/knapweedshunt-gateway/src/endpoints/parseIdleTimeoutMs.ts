/** The `timeout` parameter of a `Keep-Alive` header, in whole seconds. */
const TIMEOUT_PATTERN = /(?:^|[\s,;])timeout=(\d+)/

/** Longest idle timeout that is believed, in seconds; a timer takes it in milliseconds. */
const MAX_TIMEOUT_S = 3_600

const MS_PER_SECOND = 1_000

/** Parses for how long an endpoint keeps an idle connection, in milliseconds; null if its `Keep-Alive` header states none, or one beyond {@link MAX_TIMEOUT_S}. */
export function parseIdleTimeoutMs (header: string): number | null {
  const seconds = Number(TIMEOUT_PATTERN.exec(header)?.[1] ?? Number.NaN)
  return seconds <= MAX_TIMEOUT_S ? seconds * MS_PER_SECOND : null
}
