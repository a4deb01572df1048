import type http from 'node:http'

/** Event of a response behind which another request of its connection was accepted, so that it is not the last one any more. */
const FOLLOWED_EVENT = 'followed'

/** Number of actions that may be held; each costs objects beyond its bytes. */
const MAX_HELD_ACTIONS = 64

const followedResponses = new WeakSet<http.ServerResponse>()

/** Records that another request of its connection was accepted behind a response. */
export function recordFollowed (response: http.ServerResponse): void {
  followedResponses.add(response)
  response.emit(FOLLOWED_EVENT)
}

/** Whether another request of its connection was accepted behind a response. */
export function isFollowed (response: http.ServerResponse): boolean {
  return followedResponses.has(response)
}

/** Output of a response that waits behind another one, until its turn has come, or it is complete and settled that it is not the last of its connection. */
export class ResponseHold {
  readonly #response: http.ServerResponse
  readonly #onReleased: () => void
  #actions: Array<() => void> = []
  #heldBytes = 0
  #needsDrain = false
  #isComplete = false

  /** `onReleased` is called right before the output is written. */
  constructor (response: http.ServerResponse, onReleased: () => void) {
    this.#response = response
    this.#onReleased = onReleased
    // When the event occurs, the socket is not ready to be written to.
    response.once('socket', () => process.nextTick(this.#release)).on(FOLLOWED_EVENT, this.#releaseComplete)
  }

  /** Bytes that are held. */
  get heldBytes (): number {
    return this.#heldBytes
  }

  /** Adds an action that writes so many bytes; returns whether there is room for more. */
  add (action: () => void, bytes = 0): boolean {
    this.#actions.push(action)
    this.#heldBytes += bytes
    this.#needsDrain = this.#heldBytes >= this.#response.writableHighWaterMark || this.#actions.length >= MAX_HELD_ACTIONS
    return !this.#needsDrain
  }

  /** Records that nothing more is added. */
  complete (): void {
    this.#isComplete = true
    if (this.#response.shouldKeepAlive) this.#releaseComplete()
  }

  /** Drops what is held. */
  clear (): void {
    this.#actions = []
    this.#heldBytes = 0
  }

  readonly #releaseComplete = (): void => {
    if (this.#isComplete) this.#release()
  }

  readonly #release = (): void => {
    const actions = this.#actions
    const needsDrain = this.#needsDrain
    this.clear()
    this.#needsDrain = false
    if (this.#response.destroyed) return
    this.#onReleased()
    for (const act of actions) act()
    if (needsDrain && !this.#response.writableNeedDrain) this.#response.emit('drain')
  }
}
