/** The data path program. */
export * from './callerError.ts'
export * from './dataPath.ts'
export * from './figures.ts'
export * from './figureSeries.ts'
export * from './routerOptions.ts'
export * from './settings.ts'
export * from './startRouter.ts'
