/** Runs all programs as tasks in one process, with example resources. */
export * from './exampleDeployment.ts'
export * from './runExample.ts'
export * from './startDeployment.ts'
export * from './startFakeEndpoints.ts'
export * from './buildSettingsPage.ts'
