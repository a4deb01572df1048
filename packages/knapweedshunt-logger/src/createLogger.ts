import { Roarr } from 'roarr'

/** Structured fields of a log line. Access keys and prompts must not be logged. */
export type LogFields = Record<string, string | number | boolean | null>

/** Logger of one component, by level. */
export interface Logger {
  debug (message: string, fields?: LogFields): void
  info (message: string, fields?: LogFields): void
  warn (message: string, fields?: LogFields): void
  error (message: string, fields?: LogFields): void
}

/** Creates the logger of a component; its name prefixes each message and is logged as the field `part`. Lines are written only if ROARR_LOG=true. */
export function createLogger (component: string): Logger {
  const componentLogger = Roarr.child({ part: component })
  return {
    debug: (message, fields = {}) => componentLogger.debug(fields, `${component}: ${message}`),
    info: (message, fields = {}) => componentLogger.info(fields, `${component}: ${message}`),
    warn: (message, fields = {}) => componentLogger.warn(fields, `${component}: ${message}`),
    error: (message, fields = {}) => componentLogger.error(fields, `${component}: ${message}`)
  }
}
