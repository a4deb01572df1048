import type { SettingTable } from 'knapweedshunt-settings'
import { z } from 'zod'
import { LOAD_PRESETS } from './loadPresets.ts'
import type { LoadPresetName } from './loadPresets.ts'

const PRESET_NAMES = Object.keys(LOAD_PRESETS) as [LoadPresetName, ...LoadPresetName[]]
const routerUrlsSchema = z.string().transform(text => text.split(',')).pipe(z.array(z.url({ protocol: /^http$/ })).min(1))

/** Settings of `knapweedshunt-load run`. */
export const LOAD_SETTINGS = {
  routerUrls: { schema: routerUrlsSchema, describe: 'routers\' base URLs parted by commas', fallback: 'http://127.0.0.1:8080' },
  preset: { schema: z.enum(PRESET_NAMES), describe: `one of ${PRESET_NAMES.join(', ')}`, fallback: 'lindqvist' },
  rate: { schema: z.coerce.number().positive(), describe: 'mean requests per second', fallback: '20' },
  seconds: { schema: z.coerce.number().positive(), describe: 'how long to send requests, in seconds', fallback: '10' },
  seed: { schema: z.coerce.number().int(), describe: 'seed of the random plan; equal seeds plan equal requests', fallback: '1' },
  report: { schema: z.string(), describe: 'path of the report without file extension, empty for none', fallback: '' }
} as const satisfies SettingTable
