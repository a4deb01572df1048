import type { SettingTable, SettingValues } from './setting.ts'

/** A program, or one command of a program with several. */
export interface Program<T extends SettingTable> {
  name: string
  description: string
  settings: T
  /** Resolves when the program is done, or has stopped cleanly after `signal` aborted. */
  run (values: SettingValues<T>, signal: AbortSignal): Promise<void>
}
