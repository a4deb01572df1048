import { defineCommand, runMain } from 'citty'
import type { ArgsDef } from 'citty'
import { nameFlag, nameVariable } from './nameSetting.ts'
import { readSettings } from './readSettings.ts'
import type { SettingTable, SettingValues } from './setting.ts'
import { SettingsError } from './settingsError.ts'

/** A program that runs until its signal aborts. */
export interface Program<T extends SettingTable> {
  name: string
  description: string
  settings: T
  /** Resolves when the program has stopped cleanly after `signal` aborted. */
  run (values: SettingValues<T>, signal: AbortSignal): Promise<void>
}

/** Exit code for wrong settings. */
export const EXIT_SETTINGS = 2

/** Runs a program: parses, checks, aborts on SIGINT or SIGTERM, exits 0 after a clean stop, 2 on wrong settings, 1 on failure. */
export async function runProgram<T extends SettingTable> (program: Program<T>): Promise<void> {
  await runMain(defineCommand({
    meta: { name: program.name, description: program.description },
    args: describeArgs(program.settings),
    run: ({ args }) => runChecked(program, args)
  }))
}

async function runChecked<T extends SettingTable> (program: Program<T>, args: Record<string, unknown>): Promise<void> {
  const controller = new AbortController()
  const stop = () => controller.abort()
  process.once('SIGINT', stop)
  process.once('SIGTERM', stop)
  try {
    await program.run(readSettings(program.settings, args, process.env), controller.signal)
    process.exit(0)
  } catch (error) {
    process.stderr.write(`${program.name}: ${(error as Error).message}\n`)
    process.exit(error instanceof SettingsError ? EXIT_SETTINGS : 1)
  }
}

function describeArgs (table: SettingTable): ArgsDef {
  const args: ArgsDef = {}
  for (const [key, setting] of Object.entries(table)) {
    const fallback = setting.fallback === undefined ? 'required' : `default ${setting.fallback || '(empty)'}`
    args[nameFlag(key)] = { type: 'string', description: `${setting.describe} [${nameVariable(key)}, ${fallback}]` }
  }
  return args
}
