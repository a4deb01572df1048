/** Limits, fair queues, priorities, deadlines, load shedding. */
export * from './admission.ts'
export * from './admissionTypes.ts'
