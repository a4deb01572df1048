import { getFlagName, getVariableName } from './settingNames.ts'
import type { Setting, SettingTable } from './setting.ts'

/** Formats a settings table as a Markdown table for the documentation. */
export function describeSettings (table: SettingTable): string {
  const rows = Object.entries(table).map(([key, setting]) => describeRow(key, setting))
  return ['| flag | environment variable | default | value |', '|---|---|---|---|', ...rows].join('\n')
}

function describeRow (key: string, setting: Setting): string {
  const fallback = setting.fallback === undefined ? 'required' : setting.fallback === '' ? '(empty)' : `\`${setting.fallback}\``
  const flag = setting.positional ? getFlagName(key).toUpperCase() : `--${getFlagName(key)}`
  return `| \`${flag}\` | \`${getVariableName(key)}\` | ${fallback} | ${setting.describe}${setting.secret ? ' (never printed)' : ''} |`
}
