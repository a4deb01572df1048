import { nameFlag, nameVariable } from './nameSetting.ts'
import type { Setting, SettingTable, SettingValues } from './setting.ts'
import { SettingsError } from './settingsError.ts'

/** Flags as the command-line library parsed them. */
export type ParsedFlags = Record<string, unknown>

/** Environment variables. */
export type Environment = Record<string, string | undefined>

/** Checks flags, then environment, then fallbacks. Throws SettingsError that names every wrong setting. */
export function readSettings<T extends SettingTable> (table: T, flags: ParsedFlags, env: Environment): SettingValues<T> {
  const problems = findUnknownFlags(table, flags)
  const values: Record<string, unknown> = {}
  for (const [key, setting] of Object.entries(table)) {
    const text = readText(key, setting, flags, env)
    if (text === undefined) {
      problems.push(`--${nameFlag(key)} is missing: give the flag or set ${nameVariable(key)} (${setting.describe}).`)
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
  const flag = flags[nameFlag(key)] ?? flags[key]
  if (flag !== undefined) return String(flag)
  return env[nameVariable(key)] ?? setting.fallback
}

function describeProblem (key: string, setting: Setting, text: string, why: string): string {
  const shown = setting.secret ? '(hidden)' : `"${text}"`
  return `--${nameFlag(key)} (${nameVariable(key)}) is ${shown}: ${why}. Give ${setting.describe}.`
}

function findUnknownFlags (table: SettingTable, flags: ParsedFlags): string[] {
  const known = new Set(Object.entries(table).flatMap(([key, setting]) => [key, nameFlag(key), setting.alias ?? key]))
  return Object.keys(flags)
    .filter(flag => flag !== '_' && !known.has(flag))
    .map(flag => `--${flag} is not a setting: see --help for those there are.`)
}
