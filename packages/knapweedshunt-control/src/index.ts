/** Control process of one VM: membership, distribution of resources and fleet tasks. */
export * from './controlEvents.ts'
export * from './controlMessages.ts'
export * from './controlNode.ts'
export * from './controlOptions.ts'
export * from './nodeOptions.ts'
export * from './readPlatform.ts'
export * from './settings.ts'
export * from './startControl.ts'
