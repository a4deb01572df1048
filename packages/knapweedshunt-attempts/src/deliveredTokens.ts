import type { WeightsVersion } from 'knapweedshunt-types'
import type { Usage } from './attemptTypes.ts'
import type { StreamVersions } from './streamVersions.ts'

/** Tokens of one request that were delivered, in this response and in earlier ones, and the versions that produced them. */
export class DeliveredTokens {
  readonly #firstToken: number
  #nextToken: number
  #weightsVersion: WeightsVersion
  #softwareVersion: string

  /** `firstToken` is the index of the first token of this response; `origin` is what began the stream in an earlier one, null if this one begins it. */
  constructor (firstToken: number, origin: StreamVersions | null) {
    this.#firstToken = firstToken
    this.#nextToken = firstToken
    this.#weightsVersion = origin?.weightsVersion ?? ''
    this.#softwareVersion = origin?.softwareVersion ?? ''
  }

  /** Index of the token to deliver next. */
  get next (): number {
    return this.#nextToken
  }

  /** What began the stream, as far as it is known. */
  get versions (): StreamVersions {
    return { softwareVersion: this.#softwareVersion, weightsVersion: this.#weightsVersion }
  }

  /** Whether a token of this response was delivered. */
  get hasAny (): boolean {
    return this.#nextToken > this.#firstToken
  }

  /** Records that the next token was delivered, from an endpoint with these versions. */
  record ({ weightsVersion, softwareVersion }: StreamVersions): void {
    this.#nextToken++
    this.#weightsVersion ||= weightsVersion
    this.#softwareVersion ||= softwareVersion
  }

  /** Compares an endpoint's versions with those that produced the tokens before; returns what differs, null if nothing does or it is not stated. */
  findChange ({ weightsVersion, softwareVersion }: StreamVersions): 'weights_changed' | 'software_changed' | null {
    if (isOther(weightsVersion, this.#weightsVersion)) return 'weights_changed'
    return isOther(softwareVersion, this.#softwareVersion) ? 'software_changed' : null
  }

  /** Whether these are all tokens that the usage counts. A stream without usage was truncated. */
  isComplete (usage: Usage | null): boolean {
    return usage !== null && usage.completionTokens <= this.#nextToken
  }
}

/** Whether both versions are stated and differ. */
function isOther (version: string, previous: string): boolean {
  return version !== '' && previous !== '' && version !== previous
}
