/** Leases, fencing, orders to endpoints, weight roll-outs, draining. */
export * from './leaseState.ts'
export * from './leaseTask.ts'
