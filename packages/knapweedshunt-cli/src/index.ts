/** Functions behind the operators' command line. */
export * from './adminClient.ts'
export * from './addressSettings.ts'
export * from './applyResources.ts'
export * from './cliError.ts'
export * from './drainEndpoint.ts'
export * from './listResources.ts'
export * from './readResourceFiles.ts'
export * from './waitUntilInForce.ts'
