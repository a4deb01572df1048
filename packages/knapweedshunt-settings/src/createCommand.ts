import { defineCommand } from 'citty'
import type { ArgsDef, CommandDef } from 'citty'
import { getFlagName, getVariableName } from './settingNames.ts'
import type { Program } from './program.ts'
import { readSettings } from './readSettings.ts'
import type { Setting, SettingTable } from './setting.ts'
import { SettingsError } from './settingsError.ts'

/** Exit code of a program whose settings are missing, unknown or invalid. */
export const EXIT_CODE_INVALID_SETTINGS = 2

const EXIT_CODE_FAILURE = 1

/** Creates the command that runs a program. SIGINT and SIGTERM abort its signal; a second SIGINT ends the process at once. Exit codes: 0 on completion, 2 on invalid settings, 1 on any other error. */
export function createCommand<T extends SettingTable> (program: Program<T>): CommandDef {
  return defineCommand({
    meta: { name: program.name, description: program.description },
    args: buildArgDefinitions(program.settings),
    run: ({ args }) => runAndSetExitCode(program, args)
  })
}

async function runAndSetExitCode<T extends SettingTable> (program: Program<T>, args: Record<string, unknown>): Promise<void> {
  const controller = new AbortController()
  const abort = () => controller.abort()
  process.once('SIGINT', abort)
  process.on('SIGTERM', abort) // A repeated one must not end the process while it finishes its work.
  try {
    await program.run(readSettings(program.settings, args, process.env), controller.signal)
    process.exitCode = 0
  } catch (error) {
    process.stderr.write(`${program.name}: ${(error as Error).message}\n`)
    process.exitCode = error instanceof SettingsError ? EXIT_CODE_INVALID_SETTINGS : EXIT_CODE_FAILURE
  }
  await flushOutput()
  process.exit()
}

/** Waits until stdout and stderr are written: process.exit discards output that is still buffered for a pipe. */
function flushOutput (): Promise<void> {
  return new Promise(resolve => process.stdout.write('', () => process.stderr.write('', () => resolve())))
}

function buildArgDefinitions (table: SettingTable): ArgsDef {
  const entries = Object.entries(table).map(([key, setting]) => [getFlagName(key), buildArgDefinition(key, setting)] as const)
  return Object.fromEntries(entries)
}

function buildArgDefinition (key: string, setting: Setting): ArgsDef[string] {
  if (setting.positional) return { type: 'positional', required: setting.fallback === undefined, description: setting.describe }
  const fallback = setting.fallback === undefined ? 'required' : `default ${setting.fallback || '(empty)'}`
  return { type: 'string', alias: setting.alias, description: `${setting.describe} [${getVariableName(key)}, ${fallback}]` }
}
