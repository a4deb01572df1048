/** Ratio of two successive steps of capacity. */
const STEP_RATIO = 1.05

/** Distance from the present step at which another is taken, in steps. */
const MIN_DISTANCE = 1

/** Capacity of an endpoint in steps, with hysteresis: rankings depend on it and should neither differ among VMs nor be computed again with each response. */
export class CapacityStep {
  #step = 0

  /** Capacity of the present step; 1 for a usual endpoint. */
  get capacity (): number {
    return STEP_RATIO ** this.#step
  }

  /** Takes the step nearest to a capacity if that is clearly another one. Returns whether it changed. */
  update (capacity: number): boolean {
    const exactStep = Math.log(capacity) / Math.log(STEP_RATIO)
    if (Math.abs(exactStep - this.#step) < MIN_DISTANCE) return false
    this.#step = Math.round(exactStep)
    return true
  }
}
