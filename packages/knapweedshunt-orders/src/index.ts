/** At-most-once execution of orders. */
export * from './orderStore.ts'
export * from './orderTypes.ts'
