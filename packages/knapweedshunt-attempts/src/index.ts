/** Retries, budgets, hedges, cancel, stream resume, suspect requests. */
export * from './attemptMachine.ts'
export * from './attemptTypes.ts'
