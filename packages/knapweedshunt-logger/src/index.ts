/** Structured logs with a fixed prefix per part. */
export * from './createLogger.ts'
