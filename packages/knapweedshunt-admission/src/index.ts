/** Admission control: rate and concurrency limits, fair queues, priority classes, deadlines and load shedding. */
export * from './admission.ts'
export * from './admissionOptions.ts'
export * from './admissionTypes.ts'
export * from './concurrencyWindow.ts'
export * from './endpointLimitReport.ts'
export * from './endpointRateLimits.ts'
export * from './fairQueue.ts'
export * from './peerDemands.ts'
