/** Resource kinds, validation, revisions, distribution, in-force status. */
export * from './applyOps.ts'
export * from './checkReferences.ts'
export * from './describeStatus.ts'
export * from './parseResource.ts'
export * from './resourceErrors.ts'
export * from './resourceReplica.ts'
export * from './resourceSchema.ts'
export * from './resourceStore.ts'
