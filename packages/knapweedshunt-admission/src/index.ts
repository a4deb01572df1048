/** Limits, fair queues, priorities, deadlines, load shedding. */
export * from './admission.ts'
export * from './admissionOptions.ts'
export * from './admissionTypes.ts'
export * from './delayWindow.ts'
export * from './fairQueue.ts'
export * from './peerDemands.ts'
