/** Load and experiment tool. */
export * from './buildPrompt.ts'
export * from './callCompletion.ts'
