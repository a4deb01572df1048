/** Faults that a simulated run can inject. */
export const FAULTS = [
  'store-slow', 'store-down', 'answer-lost', 'applied-late',
  'router-crash', 'router-paused', 'shutdown', 'partition', 'store-cut',
  'caller-elsewhere', 'caller-gone', 'doubled-answer', 'crossed-answer',
  'endpoint-refused', 'endpoint-crash-before', 'endpoint-crash-during', 'endpoint-crash-after'
] as const

/** One of {@link FAULTS}. */
export type Fault = typeof FAULTS[number]

/** Steps of order execution at which a fault can be injected. */
export const STEPS = [
  'minted', 'placed', 'claim-sent', 'claim-answered', 'forward-sent', 'attempt-sent', 'running', 'ran',
  'attempt-answered', 'record-sent', 'record-answered', 'caller-answered'
] as const

/** One of {@link STEPS}. */
export type Step = typeof STEPS[number]

/** A fault that is injected when a step is reached for the nth time. */
export interface PlannedFault {
  fault: Fault
  step: Step
  /** 1 for the first. */
  nth: number
}
