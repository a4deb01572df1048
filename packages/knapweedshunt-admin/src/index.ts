/** The admin program: HTTP interface through which operators read and change resources. */
export * from './adminOptions.ts'
export * from './operatorKey.ts'
export * from './settings.ts'
export * from './startAdmin.ts'
