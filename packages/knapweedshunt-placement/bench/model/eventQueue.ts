interface ScheduledCallback {
  atMs: number
  n: number
  run: () => void
}

/** Event queue in virtual time. Callbacks run in order of their times; those with equal times in the order in which they were scheduled. */
export class EventQueue {
  nowMs = 0
  readonly #heap: ScheduledCallback[] = []
  #nextNumber = 0

  /** Schedules a callback; a time in the past counts as now. */
  schedule (atMs: number, run: () => void): void {
    const heap = this.#heap
    let i = heap.push({ atMs: Math.max(atMs, this.nowMs), n: this.#nextNumber++, run }) - 1
    while (i > 0) {
      const parent = (i - 1) >> 1
      if (isBefore(heap[parent], heap[i])) break
      swap(heap, i, parent)
      i = parent
    }
  }

  /** Runs callbacks until the queue is empty. */
  run (): void {
    for (let next = this.#removeFirst(); next !== undefined; next = this.#removeFirst()) {
      this.nowMs = next.atMs
      next.run()
    }
  }

  #removeFirst (): ScheduledCallback | undefined {
    const heap = this.#heap
    const first = heap[0]
    const last = heap.pop()
    if (last === undefined || heap.length === 0) return first
    heap[0] = last
    for (let i = 0; ;) {
      const left = 2 * i + 1
      if (left >= heap.length) return first
      const smallest = left + 1 < heap.length && isBefore(heap[left + 1], heap[left]) ? left + 1 : left
      if (isBefore(heap[i], heap[smallest])) return first
      swap(heap, i, smallest)
      i = smallest
    }
  }
}

function isBefore (a: ScheduledCallback, b: ScheduledCallback): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.n < b.n)
}

function swap (heap: ScheduledCallback[], i: number, j: number): void {
  [heap[i], heap[j]] = [heap[j], heap[i]]
}
