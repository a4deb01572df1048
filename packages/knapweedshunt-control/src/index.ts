/** The per-VM control program. */
export * from './controlMessages.ts'
export * from './controlOptions.ts'
export * from './settings.ts'
export * from './startControl.ts'
