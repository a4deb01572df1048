interface Timed {
  atMs: number
  n: number
  run: () => void
}

/** Virtual time: runs what is due in order of time, and of entry for equal times. */
export class EventQueue {
  nowMs = 0
  readonly #heap: Timed[] = []
  #n = 0

  /** Adds something to run at a time. */
  add (atMs: number, run: () => void): void {
    const heap = this.#heap
    let i = heap.push({ atMs: Math.max(atMs, this.nowMs), n: this.#n++, run }) - 1
    while (i > 0) {
      const parent = (i - 1) >> 1
      if (isBefore(heap[parent], heap[i])) break
      swap(heap, i, parent)
      i = parent
    }
  }

  /** Runs everything until nothing is left. */
  run (): void {
    for (let next = this.#take(); next !== undefined; next = this.#take()) {
      this.nowMs = next.atMs
      next.run()
    }
  }

  #take (): Timed | undefined {
    const heap = this.#heap
    const first = heap[0]
    const last = heap.pop()
    if (last === undefined || heap.length === 0) return first
    heap[0] = last
    for (let i = 0; ;) {
      const left = 2 * i + 1
      if (left >= heap.length) return first
      const least = left + 1 < heap.length && isBefore(heap[left + 1], heap[left]) ? left + 1 : left
      if (isBefore(heap[i], heap[least])) return first
      swap(heap, i, least)
      i = least
    }
  }
}

function isBefore (a: Timed, b: Timed): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.n < b.n)
}

function swap (heap: Timed[], i: number, j: number): void {
  [heap[i], heap[j]] = [heap[j], heap[i]]
}
