/** Turns of the event loop within which a new connection is read: it is accepted in one and read in the next. */
const READ_TURNS = 2

/** The connections of callers, by whether a request is under way on them. Decides which one gives way when there are too many. */
export class ConnectionTable<T> {
  readonly #maxConnections: number
  /** New connections, and for how many turns of the event loop they have been here; what they sent is read within two. */
  readonly #fresh = new Map<T, number>()
  /** Other connections without a request under way, those that have been so for longest first. */
  readonly #idle = new Set<T>()
  readonly #busy = new Set<T>()

  constructor (maxConnections: number) {
    this.#maxConnections = maxConnections
  }

  /** Number of connections. */
  get size (): number {
    return this.#fresh.size + this.#idle.size + this.#busy.size
  }

  /** Whether there are more connections than allowed. */
  get isOverfull (): boolean {
    return this.size > this.#maxConnections
  }

  /** Adds a new connection; it does not give way until what it has sent was read. */
  add (connection: T): void {
    this.#fresh.set(connection, 0)
  }

  /** Records that a turn of the event loop has passed; returns whether there are still connections that wait to be read. */
  advanceTurn (): boolean {
    for (const [connection, turns] of this.#fresh) {
      if (turns + 1 < READ_TURNS) this.#fresh.set(connection, turns + 1)
      else {
        this.#fresh.delete(connection)
        this.#idle.add(connection)
      }
    }
    return this.#fresh.size > 0
  }

  /** Records that a request is under way. */
  recordBusy (connection: T): void {
    if (this.#fresh.delete(connection) || this.#idle.delete(connection)) this.#busy.add(connection)
  }

  /** Records that no request is under way any more. */
  recordIdle (connection: T): void {
    if (this.#busy.delete(connection)) this.#idle.add(connection)
  }

  /** Removes a connection that has closed. */
  remove (connection: T): void {
    this.#fresh.delete(connection)
    this.#idle.delete(connection)
    this.#busy.delete(connection)
  }

  /** Removes and returns the connection that has had no request for longest; null if there is none. */
  evictIdle (): T | null {
    const [connection] = this.#idle
    if (connection === undefined) return null
    this.#idle.delete(connection)
    return connection
  }
}
