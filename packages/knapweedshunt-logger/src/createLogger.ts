import { Roarr } from 'roarr'

/** Extra fields of a log line; never a key or a prompt. */
export type LogFields = Record<string, string | number | boolean | null>

/** Logger of one part. */
export interface Logger {
  debug (message: string, fields?: LogFields): void
  info (message: string, fields?: LogFields): void
  warn (message: string, fields?: LogFields): void
  error (message: string, fields?: LogFields): void
}

/** Creates the logger of a part; each message gets the fixed prefix `part: `. Written when ROARR_LOG=true. */
export function createLogger (part: string): Logger {
  const child = Roarr.child({ part })
  return {
    debug: (message, fields = {}) => child.debug(fields, `${part}: ${message}`),
    info: (message, fields = {}) => child.info(fields, `${part}: ${message}`),
    warn: (message, fields = {}) => child.warn(fields, `${part}: ${message}`),
    error: (message, fields = {}) => child.error(fields, `${part}: ${message}`)
  }
}
