/** Router process of the data path: its options, settings and start-up. */
export * from './callerError.ts'
export * from './dataPath.ts'
export * from './routerMetrics.ts'
export * from './metricSeries.ts'
export * from './routerOptions.ts'
export * from './settings.ts'
export * from './startRouter.ts'
