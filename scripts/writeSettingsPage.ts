import { writeFileSync } from 'node:fs'
import { buildSettingsPage } from 'knapweedshunt-quickstart'

writeFileSync(new URL('../docs/3-settings.md', import.meta.url), buildSettingsPage())
