/** A response that is being forwarded to a caller. */
export interface ForwardedResponse {
  /** Bytes that were read from the endpoint and that the caller's connection has not taken. */
  readonly pendingBytes: number
}

/** The responses that a VM is forwarding. */
export class ForwardedResponses {
  readonly #responses = new Set<ForwardedResponse>()

  /** Number of responses being forwarded. */
  get count (): number {
    return this.#responses.size
  }

  /** Bytes of all responses that were read and not yet taken by the connections of their callers. */
  sumPendingBytes (): number {
    return [...this.#responses].reduce((sum, { pendingBytes }) => sum + pendingBytes, 0)
  }

  /** Counts a response while its body is forwarded. */
  async track<T> (response: ForwardedResponse, forward: () => Promise<T>): Promise<T> {
    this.#responses.add(response)
    return await forward().finally(() => this.#responses.delete(response))
  }
}
