/** Binary heap with the least key on top; equal keys leave in order of entry. */
export class MinHeap<T> {
  readonly #nodes: Array<Node<T>> = []
  #entries = 0

  /** Number of values. */
  get size (): number {
    return this.#nodes.length
  }

  /** Adds a value; O(log n). */
  add (key: number, value: T): void {
    this.#nodes.push({ key, order: this.#entries++, value })
    this.#raise(this.#nodes.length - 1)
  }

  /** Value with the least key, not removed. */
  peek (): { key: number, value: T } | undefined {
    return this.#nodes[0]
  }

  /** Removes the value with the least key; O(log n). */
  take (): { key: number, value: T } | undefined {
    const top = this.#nodes[0]
    const last = this.#nodes.pop()
    if (top === undefined || last === undefined || top === last) return top
    this.#nodes[0] = last
    this.#lower(0)
    return top
  }

  /** Drops the values that the predicate does not hold for; O(n log n). */
  keep (isWanted: (value: T) => boolean): void {
    const nodes = this.#nodes.splice(0)
    for (const { key, value } of nodes) if (isWanted(value)) this.add(key, value)
  }

  /** Removes all values. */
  clear (): void {
    this.#nodes.length = 0
  }

  #raise (start: number): void {
    for (let i = start; i > 0;) {
      const parent = (i - 1) >> 1
      if (!this.#isLess(i, parent)) return
      this.#swap(i, parent)
      i = parent
    }
  }

  #lower (start: number): void {
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
    return a.key < b.key || (a.key === b.key && a.order < b.order)
  }

  #swap (i: number, j: number): void {
    const node = this.#nodes[i]
    this.#nodes[i] = this.#nodes[j]
    this.#nodes[j] = node
  }
}

interface Node<T> {
  key: number
  order: number
  value: T
}
