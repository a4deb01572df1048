import { ADMIN_SETTINGS } from 'knapweedshunt-admin'
import { ADDRESS_SETTINGS } from 'knapweedshunt-cli'
import { CONTROL_SETTINGS } from 'knapweedshunt-control'
import { FAKES_SETTINGS } from 'knapweedshunt-fakes'
import { LOAD_SETTINGS } from 'knapweedshunt-load'
import { ROUTER_SETTINGS } from 'knapweedshunt-router'
import { describeSettings } from 'knapweedshunt-settings'

const HEAD = `---
sidebar_position: 3
---

# Settings

Each setting is a flag or an environment variable; the flag goes first. A wrong one names flag, value and how to mend it, and the program exits with code 2. This page is made from the programs' own tables by \`npm run docs:settings\`.
`

/** Builds the page docs/3-settings.md. */
export function buildSettingsPage (): string {
  const programs = [
    { name: 'knapweedshunt-router', settings: ROUTER_SETTINGS },
    { name: 'knapweedshunt-control', settings: CONTROL_SETTINGS },
    { name: 'knapweedshunt-admin', settings: ADMIN_SETTINGS },
    { name: 'knapweedshuntctl (every command)', settings: ADDRESS_SETTINGS },
    { name: 'knapweedshunt-load run', settings: LOAD_SETTINGS },
    { name: 'knapweedshunt-fakes', settings: FAKES_SETTINGS }
  ]
  return [HEAD, ...programs.map(({ name, settings }) => `## ${name}\n\n${describeSettings(settings)}\n`)].join('\n')
}
