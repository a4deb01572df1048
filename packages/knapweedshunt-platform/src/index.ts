/** Client of the table service, the object store and the VM list. */
export * from './createPlatformClient.ts'
export * from './platform.ts'
export * from './platformError.ts'
export * from './row.ts'
export * from './transaction.ts'
