/** Prefix-aware endpoint selection: ranks endpoints by the prefix levels of a prompt. */
export * from './buildPrefixLevels.ts'
export * from './endpointForecasts.ts'
export * from './objectiveWeights.ts'
export * from './placement.ts'
export * from './placementError.ts'
export * from './placementOptions.ts'
export * from './placementTypes.ts'
export * from './rankEndpoints.ts'
