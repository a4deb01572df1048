import type { SettingTable, SettingValues } from './setting.ts'

/** A program, or one command of a program that has several. */
export interface Program<T extends SettingTable> {
  name: string
  description: string
  settings: T
  /** Resolves when the program has finished, or has shut down after `signal` was aborted. A rejection ends the process with a non-zero exit code. */
  run (values: SettingValues<T>, signal: AbortSignal): Promise<void>
}
