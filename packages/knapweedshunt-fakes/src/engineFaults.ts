/** Faults of the engine stand-in; all may be changed at any time. */
export interface EngineFaults {
  /** Accept requests and send nothing. */
  hang: boolean
  /** Send nothing more after this many tokens; -1 never. */
  hangAfterTokens: number
  /** Reset the connection after this many tokens; -1 never. */
  resetAfterTokens: number
  /** Crash after this many tokens of any completion, once; -1 never. */
  crashAfterTokens: number
  /** End the stream after this many tokens as if it were whole; -1 never. */
  truncateAfterTokens: number
  /** Answer completions with this status and start nothing; 0 for none. */
  rejectStatus: number
  /** Answer with JSON in place of an event stream. */
  plainAnswer: boolean
  /** Write an event that is not JSON after this many tokens; -1 never. */
  malformedAfterTokens: number
  /** Send each token twice. */
  doubleTokens: boolean
  /** Swap each two neighbouring tokens. */
  swapTokens: boolean
  /** Extra time before each token, in milliseconds. */
  slowMs: number
  /** Crash when a prompt contains this text; empty never. */
  crashOnText: string
  /** Keep load reports as they are. */
  freezeLoad: boolean
}

/** No faults. */
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
  freezeLoad: false
}
