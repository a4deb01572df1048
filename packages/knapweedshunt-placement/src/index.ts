/** Prefix levels to ranked endpoints. */
export * from './cutLevels.ts'
export * from './placement.ts'
export * from './placementTypes.ts'
export * from './rankEndpoints.ts'
