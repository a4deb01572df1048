/** Structured logging with the component's name as prefix. */
export * from './createLogger.ts'
