import type { z } from 'zod'

/** One setting, given as a flag or an environment variable. `schema` parses its text; `describe` is printed in help, errors and the documentation. */
export interface Setting {
  schema: z.ZodType
  describe: string
  /** Default, as text, when neither flag nor variable is given; a setting without a default is required. */
  fallback?: string
  /** Whether the value is hidden in error messages. */
  secret?: boolean
  /** Whether the setting is a positional argument instead of a flag. */
  positional?: boolean
  /** One-letter flag. */
  alias?: string
}

/** Settings of a program by camel-case name, from which flags and environment variables are derived. */
export type SettingTable = Record<string, Setting>

/** Parsed values of a {@link SettingTable}, as its schemas output them. */
export type SettingValues<T extends SettingTable> = { [K in keyof T]: z.output<T[K]['schema']> }
