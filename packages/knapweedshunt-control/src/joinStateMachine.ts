/**
 * Steps of a starting VM. Before it serves, every peer that it can reach knows it, and after that it has read the newest
 * revision once more. So no VM reports a revision as in force without counting this one.
 */
export type JoinStep =
  /** Finds peers through the platform's VM list or the peer URLs in the settings. */
  | { type: 'discovering' }
  /** Announces itself to every peer of its data centre. */
  | { type: 'announcing', pendingUrls: Set<string>, unansweredCount: number }
  /** Waits until gossip has reached the peers that did not answer. */
  | { type: 'awaitingGossip', untilMs: number }
  /** Waits until the replica holds the newest revision of the platform and the peers. */
  | { type: 'catchingUp' }
  | { type: 'ready' }

/** Tracks the {@link JoinStep} of a starting VM. Performs no I/O. */
export class JoinStateMachine {
  readonly #gossipWaitMs: number
  #step: JoinStep = { type: 'discovering' }

  constructor (gossipWaitMs: number) {
    this.#gossipWaitMs = gossipWaitMs
  }

  /** Current step. */
  get step (): JoinStep {
    return this.#step
  }

  /** Whether all steps are complete. */
  get isReady (): boolean {
    return this.#step.type === 'ready'
  }

  /** Starts the announcement to these peer URLs; without any, the step is complete at once. */
  startAnnouncing (urls: string[]): void {
    this.#step = { type: 'announcing', pendingUrls: new Set(urls), unansweredCount: 0 }
    this.#finishAnnouncingIfDone()
  }

  /** Handles the end of an exchange with a peer, answered or not. */
  handleAnswer (url: string, isAnswered: boolean): void {
    if (this.#step.type !== 'announcing' || !this.#step.pendingUrls.delete(url)) return
    if (!isAnswered) this.#step.unansweredCount++
    this.#finishAnnouncingIfDone()
  }

  /** Ends the wait for gossip when its time has passed. */
  tick (): void {
    if (this.#step.type === 'awaitingGossip' && performance.now() >= this.#step.untilMs) this.#step = { type: 'catchingUp' }
  }

  /** Completes the start once the replica holds the newest known revision; ignored in any other step. */
  finishCatchingUp (): void {
    if (this.#step.type === 'catchingUp') this.#step = { type: 'ready' }
  }

  #finishAnnouncingIfDone (): void {
    if (this.#step.type !== 'announcing' || this.#step.pendingUrls.size > 0) return
    const { unansweredCount } = this.#step
    this.#step = unansweredCount === 0 ? { type: 'catchingUp' } : { type: 'awaitingGossip', untilMs: performance.now() + this.#gossipWaitMs }
  }
}
