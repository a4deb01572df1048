import { nameFlag, nameVariable } from './nameSetting.ts'
import type { Setting, SettingTable } from './setting.ts'

/** Describes a table of settings as a Markdown table. */
export function describeSettings (table: SettingTable): string {
  const rows = Object.entries(table).map(([key, setting]) => describeRow(key, setting))
  return ['| flag | environment variable | default | value |', '|---|---|---|---|', ...rows].join('\n')
}

function describeRow (key: string, setting: Setting): string {
  const fallback = setting.fallback === undefined ? 'required' : setting.fallback === '' ? '(empty)' : `\`${setting.fallback}\``
  const flag = setting.positional ? nameFlag(key).toUpperCase() : `--${nameFlag(key)}`
  return `| \`${flag}\` | \`${nameVariable(key)}\` | ${fallback} | ${setting.describe}${setting.secret ? ' (never printed)' : ''} |`
}
