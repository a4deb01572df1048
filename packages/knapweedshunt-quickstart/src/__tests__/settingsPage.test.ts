import test from 'ava'
import { readFileSync } from 'node:fs'
import { buildSettingsPage } from '../buildSettingsPage.ts'

test('docs/3-settings.md is up to date with the setting tables', t => {
  const page = readFileSync(new URL('../../../../docs/3-settings.md', import.meta.url), 'utf8')
  t.is(page, buildSettingsPage())
})
