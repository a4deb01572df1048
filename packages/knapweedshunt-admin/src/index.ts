/** The resource interface program. */
export * from './adminOptions.ts'
export * from './operatorKey.ts'
export * from './settings.ts'
export * from './startAdmin.ts'
