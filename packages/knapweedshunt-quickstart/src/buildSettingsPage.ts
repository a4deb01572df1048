import { ADMIN_SETTINGS } from 'knapweedshunt-admin'
import { ADDRESS_SETTINGS } from 'knapweedshunt-cli'
import { CONTROL_SETTINGS } from 'knapweedshunt-control'
import { FAKES_SETTINGS } from 'knapweedshunt-fakes'
import { LOAD_SETTINGS } from 'knapweedshunt-load'
import { ROUTER_SETTINGS } from 'knapweedshunt-router'
import { describeSettings } from 'knapweedshunt-settings'

const PAGE_HEADER = `---
sidebar_position: 3
---

# Settings

Each setting is a flag or an environment variable; the flag takes precedence. For an invalid value the program prints the flag, the value and the accepted values, and exits with code 2. This page is generated from the programs' setting tables by \`npm run docs:settings\`.
`

/** Builds the text of docs/3-settings.md from the setting tables of all programs. */
export function buildSettingsPage (): string {
  const programs = [
    { name: 'knapweedshunt-router', settings: ROUTER_SETTINGS },
    { name: 'knapweedshunt-control', settings: CONTROL_SETTINGS },
    { name: 'knapweedshunt-admin', settings: ADMIN_SETTINGS },
    { name: 'knapweedshuntctl (every command)', settings: ADDRESS_SETTINGS },
    { name: 'knapweedshunt-load run', settings: LOAD_SETTINGS },
    { name: 'knapweedshunt-fakes', settings: FAKES_SETTINGS }
  ]
  return [PAGE_HEADER, ...programs.map(({ name, settings }) => `## ${name}\n\n${describeSettings(settings)}\n`)].join('\n')
}
