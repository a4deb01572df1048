import type { SettingTable } from 'knapweedshunt-settings'
import { z } from 'zod'
import { LOAD_PRESETS } from './loadPresets.ts'
import type { LoadPresetName } from './loadPresets.ts'

const presetNames = Object.keys(LOAD_PRESETS) as [LoadPresetName, ...LoadPresetName[]]
const urls = z.string().transform(text => text.split(',')).pipe(z.array(z.url({ protocol: /^http$/ })).min(1))

/** Settings of `knapweedshunt-load run`. */
export const LOAD_SETTINGS = {
  routerUrls: { schema: urls, describe: 'routers\' base URLs parted by commas', fallback: 'http://127.0.0.1:8080' },
  preset: { schema: z.enum(presetNames), describe: `one of ${presetNames.join(', ')}`, fallback: 'lindqvist' },
  rate: { schema: z.coerce.number().positive(), describe: 'mean requests per second', fallback: '20' },
  seconds: { schema: z.coerce.number().positive(), describe: 'how long to send, in seconds', fallback: '10' },
  seed: { schema: z.coerce.number().int(), describe: 'a seed', fallback: '1' },
  report: { schema: z.string(), describe: 'path of the report without its ending, empty for none', fallback: '' }
} as const satisfies SettingTable
