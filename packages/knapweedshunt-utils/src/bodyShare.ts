import type { BodyMemory } from './bodyMemory.ts'

/** What one body takes of a {@link BodyMemory}. */
export class BodyShare {
  readonly #memory: BodyMemory
  #keptBytes = 0

  constructor (memory: BodyMemory) {
    this.#memory = memory
  }

  /** Size of what is kept, in bytes. */
  get keptBytes (): number {
    return this.#keptBytes
  }

  /** Sets the size of what is kept, if there is room for it; a smaller size always has room. */
  tryResize (bytes: number): boolean {
    const neededBytes = this.#countBytes(bytes) - this.#countBytes(this.#keptBytes)
    if (neededBytes > 0 && neededBytes > this.#memory.freeBytes) return false
    this.resize(bytes)
    return true
  }

  /** Sets the size of what is kept, whether or not there is room for it. */
  resize (bytes: number): void {
    this.#memory.take(this.#countBytes(bytes) - this.#countBytes(this.#keptBytes))
    this.#keptBytes = bytes
  }

  /** Gives everything back. */
  release (): void {
    this.resize(0)
  }

  #countBytes (bytes: number): number {
    return Math.max(0, bytes - this.#memory.uncountedBytes)
  }
}
