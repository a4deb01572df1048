/** Faults that the fake engine injects; all may be changed at any time. */
export interface EngineFaults {
  /** Accept requests and send nothing. */
  hang: boolean
  /** Send nothing more after this many tokens, with the connection open; -1 never. */
  hangAfterTokens: number
  /** Reset the connection after this many tokens; -1 never. */
  resetAfterTokens: number
  /** Crash after this many tokens of any completion, once; -1 never. */
  crashAfterTokens: number
  /** End the stream with `[DONE]` after this many tokens, without the usage event; -1 never. */
  truncateAfterTokens: number
  /** Reject completions with this status without starting them; 0 for none. */
  rejectStatus: number
  /** Answer with a JSON body instead of an event stream. */
  plainAnswer: boolean
  /** Write an event that is not JSON after this many tokens; -1 never. */
  malformedAfterTokens: number
  /** Send each token twice. */
  doubleTokens: boolean
  /** Swap the tokens of each adjacent pair. */
  swapTokens: boolean
  /** Additional delay before each token, in milliseconds. */
  slowMs: number
  /** Crash on each prompt that contains this text; empty for never. */
  crashOnText: string
  /** Rate limit stated in all responses to completions, in requests per second; -1 for none. */
  statedLimitPerS: number
  /** Rest that rejections ask for, in seconds; -1 for none. */
  retryAfterS: number
  /** State in all responses to completions that the engine is about to stop. */
  statesLeaving: boolean
  /** Version of the engine's software that it states. */
  softwareVersion: string
  /** Repeat the last load report instead of a current one. */
  freezeLoad: boolean
}

/** All faults disabled. */
export const DEFAULT_ENGINE_FAULTS: EngineFaults = {
  hang: false,
  hangAfterTokens: -1,
  resetAfterTokens: -1,
  crashAfterTokens: -1,
  truncateAfterTokens: -1,
  rejectStatus: 0,
  plainAnswer: false,
  malformedAfterTokens: -1,
  doubleTokens: false,
  swapTokens: false,
  slowMs: 0,
  crashOnText: '',
  statedLimitPerS: -1,
  retryAfterS: -1,
  statesLeaving: false,
  softwareVersion: 'v1',
  freezeLoad: false
}
