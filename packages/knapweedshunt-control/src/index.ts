/** The per-VM control program. */
export * from './controlEvents.ts'
export * from './controlMessages.ts'
export * from './controlNode.ts'
export * from './controlOptions.ts'
export * from './nodeOptions.ts'
export * from './readPlatform.ts'
export * from './settings.ts'
export * from './startControl.ts'
