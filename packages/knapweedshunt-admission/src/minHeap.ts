/** Binary min-heap; values with equal keys are popped in insertion order. */
export class MinHeap<T> {
  readonly #nodes: Array<HeapNode<T>> = []
  #nextSequence = 0

  /** Number of values. */
  get size (): number {
    return this.#nodes.length
  }

  /** Adds a value; O(log n). */
  push (key: number, value: T): void {
    this.#nodes.push({ key, sequence: this.#nextSequence++, value })
    this.#siftUp(this.#nodes.length - 1)
  }

  /** Returns the entry with the smallest key without removing it; undefined when the heap is empty. */
  peek (): { key: number, value: T } | undefined {
    return this.#nodes[0]
  }

  /** Removes and returns the entry with the smallest key; undefined when the heap is empty. O(log n). */
  pop (): { key: number, value: T } | undefined {
    const top = this.#nodes[0]
    const last = this.#nodes.pop()
    if (top === undefined || last === undefined || top === last) return top
    this.#nodes[0] = last
    this.#siftDown(0)
    return top
  }

  /** Removes the values for which the predicate is false; O(n log n). */
  retain (isWanted: (value: T) => boolean): void {
    const nodes = this.#nodes.splice(0)
    for (const { key, value } of nodes) if (isWanted(value)) this.push(key, value)
  }

  /** Removes all values. */
  clear (): void {
    this.#nodes.length = 0
  }

  #siftUp (start: number): void {
    for (let i = start; i > 0;) {
      const parent = (i - 1) >> 1
      if (!this.#isLess(i, parent)) return
      this.#swap(i, parent)
      i = parent
    }
  }

  #siftDown (start: number): void {
    for (let i = start; ;) {
      let least = i
      for (const child of [2 * i + 1, 2 * i + 2]) {
        if (child < this.#nodes.length && this.#isLess(child, least)) least = child
      }
      if (least === i) return
      this.#swap(i, least)
      i = least
    }
  }

  #isLess (i: number, j: number): boolean {
    const [a, b] = [this.#nodes[i], this.#nodes[j]]
    return a.key < b.key || (a.key === b.key && a.sequence < b.sequence)
  }

  #swap (i: number, j: number): void {
    const node = this.#nodes[i]
    this.#nodes[i] = this.#nodes[j]
    this.#nodes[j] = node
  }
}

interface HeapNode<T> {
  key: number
  sequence: number
  value: T
}
