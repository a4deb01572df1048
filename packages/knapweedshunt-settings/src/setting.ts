import type { z } from 'zod'

/** One setting: checked by `schema`, given as flag or environment variable. */
export interface Setting {
  schema: z.ZodType
  describe: string
  /** Text used when neither flag nor variable is given; a setting without one is required. */
  fallback?: string
  /** The value is never printed. */
  secret?: boolean
  /** Given by place instead of by flag. */
  positional?: boolean
  /** One-letter flag. */
  alias?: string
}

/** Settings of a program, by camel-case name. */
export type SettingTable = Record<string, Setting>

/** Checked values of a {@link SettingTable}. */
export type SettingValues<T extends SettingTable> = { [K in keyof T]: z.output<T[K]['schema']> }
