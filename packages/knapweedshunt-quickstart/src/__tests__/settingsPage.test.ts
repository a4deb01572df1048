import test from 'ava'
import { readFileSync } from 'node:fs'
import { buildSettingsPage } from '../buildSettingsPage.ts'

test('settings page is as the programs say', t => {
  const page = readFileSync(new URL('../../../../docs/3-settings.md', import.meta.url), 'utf8')
  t.is(page, buildSettingsPage())
})
