import { defineCommand } from 'citty'
import type { ArgsDef, CommandDef } from 'citty'
import { nameFlag, nameVariable } from './nameSetting.ts'
import type { Program } from './program.ts'
import { readSettings } from './readSettings.ts'
import type { Setting, SettingTable } from './setting.ts'
import { SettingsError } from './settingsError.ts'

/** Exit code for wrong settings. */
export const EXIT_SETTINGS = 2

const EXIT_FAILURE = 1

/** Makes a command of a program: it aborts on SIGINT or SIGTERM and exits 0 when done, 2 on wrong settings, 1 on failure. */
export function createCommand<T extends SettingTable> (program: Program<T>): CommandDef {
  return defineCommand({
    meta: { name: program.name, description: program.description },
    args: describeArgs(program.settings),
    run: ({ args }) => runChecked(program, args)
  })
}

async function runChecked<T extends SettingTable> (program: Program<T>, args: Record<string, unknown>): Promise<void> {
  const controller = new AbortController()
  const stop = () => controller.abort()
  process.once('SIGINT', stop)
  process.once('SIGTERM', stop)
  try {
    await program.run(readSettings(program.settings, args, process.env), controller.signal)
    process.exitCode = 0
  } catch (error) {
    process.stderr.write(`${program.name}: ${(error as Error).message}\n`)
    process.exitCode = error instanceof SettingsError ? EXIT_SETTINGS : EXIT_FAILURE
  }
  await waitOutput()
  process.exit()
}

/** Text written to a pipe is lost by an exit before it has gone out. */
function waitOutput (): Promise<void> {
  return new Promise(resolve => process.stdout.write('', () => process.stderr.write('', () => resolve())))
}

function describeArgs (table: SettingTable): ArgsDef {
  const entries = Object.entries(table).map(([key, setting]) => [nameFlag(key), describeArg(key, setting)] as const)
  return Object.fromEntries(entries)
}

function describeArg (key: string, setting: Setting): ArgsDef[string] {
  if (setting.positional) return { type: 'positional', required: setting.fallback === undefined, description: setting.describe }
  const fallback = setting.fallback === undefined ? 'required' : `default ${setting.fallback || '(empty)'}`
  return { type: 'string', alias: setting.alias, description: `${setting.describe} [${nameVariable(key)}, ${fallback}]` }
}
