/** All parts as tasks in one process. */
export * from './startDeployment.ts'
