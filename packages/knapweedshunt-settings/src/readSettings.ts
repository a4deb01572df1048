import { getFlagName, getVariableName } from './settingNames.ts'
import type { Setting, SettingTable, SettingValues } from './setting.ts'
import { SettingsError } from './settingsError.ts'

/** Flags as parsed by citty; the key `_` holds the positional arguments. */
export type ParsedFlags = Record<string, unknown>

/** Environment variables by name, as in `process.env`. */
export type Environment = Record<string, string | undefined>

/** Reads each setting from its flag, else its environment variable, else its default. Throws a SettingsError that lists every invalid setting. */
export function readSettings<T extends SettingTable> (table: T, flags: ParsedFlags, env: Environment): SettingValues<T> {
  const problems = findUnknownFlags(table, flags)
  const values: Record<string, unknown> = {}
  for (const [key, setting] of Object.entries(table)) {
    const text = readText(key, setting, flags, env)
    if (text === undefined) {
      problems.push(`--${getFlagName(key)} is missing: give the flag or set ${getVariableName(key)} (${setting.describe}).`)
      continue
    }
    const result = setting.schema.safeParse(text)
    if (result.success) values[key] = result.data
    else problems.push(describeProblem(key, setting, text, result.error.issues[0].message))
  }
  if (problems.length > 0) throw new SettingsError(problems.join('\n'))
  return values as SettingValues<T>
}

function readText (key: string, setting: Setting, flags: ParsedFlags, env: Environment): string | undefined {
  const flag = flags[getFlagName(key)] ?? flags[key]
  if (flag !== undefined) return String(flag)
  return env[getVariableName(key)] ?? setting.fallback
}

function describeProblem (key: string, setting: Setting, text: string, reason: string): string {
  const shownValue = setting.secret ? '(hidden)' : `"${text}"`
  return `--${getFlagName(key)} (${getVariableName(key)}) is ${shownValue}: ${reason}. Give ${setting.describe}.`
}

function findUnknownFlags (table: SettingTable, flags: ParsedFlags): string[] {
  const knownFlags = new Set(Object.entries(table).flatMap(([key, setting]) => [key, getFlagName(key), setting.alias ?? key]))
  return Object.keys(flags)
    .filter(flag => flag !== '_' && !knownFlags.has(flag))
    .map(flag => `--${flag} is not a setting: see --help for the available settings.`)
}
