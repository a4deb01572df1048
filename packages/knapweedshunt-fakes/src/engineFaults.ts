/** Faults of the engine stand-in; all may be changed at any time. */
export interface EngineFaults {
  /** Accept requests and send nothing. */
  hang: boolean
  /** Reset the connection after this many tokens; -1 never. */
  resetAfterTokens: number
  /** Extra time before each token, in milliseconds. */
  slowMs: number
  /** Crash when a prompt contains this text; empty never. */
  crashOnText: string
  /** Keep load reports as they are. */
  freezeLoad: boolean
}

/** No faults. */
export const DEFAULT_ENGINE_FAULTS: EngineFaults = { hang: false, resetAfterTokens: -1, slowMs: 0, crashOnText: '', freezeLoad: false }
