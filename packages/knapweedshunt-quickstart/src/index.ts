/** All parts as tasks in one process. */
export * from './exampleDeployment.ts'
export * from './runExample.ts'
export * from './startDeployment.ts'
export * from './startStandIns.ts'
export * from './buildSettingsPage.ts'
