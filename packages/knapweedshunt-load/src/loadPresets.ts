import type { LoadPreset } from './loadPreset.ts'

const ORGANISATION_COUNT = 8
const LARGE_ORGANISATION_COUNT = 3
const LARGE_SHARE = 5

/** Traffic mix of the hotel deployment: route checks and guest notes whose prompts share house rules, and delivery orders. */
const LINDQVIST: LoadPreset = {
  name: 'lindqvist',
  organisations: buildOrganisations('hotel'),
  jobs: [
    { type: 'completion', name: 'route-check', share: 6, model: 'route-check', maxTokens: 16, shape: { manuals: 2, sections: 6, manualWords: 800, sectionWords: 200, caseWords: 40, skew: 2 } },
    { type: 'completion', name: 'guest-note', share: 3, model: 'guest-note', maxTokens: 48, shape: { manuals: 2, sections: 6, manualWords: 800, sectionWords: 200, caseWords: 60, skew: 2 } },
    { type: 'order', name: 'delivery', share: 1, path: '/dispatch/deliveries' }
  ]
}

/** Traffic mix of the body-shop deployment: labour codes and line items whose prompts share manual sections, and estimate submissions as orders. */
const STEPPE_PANEL: LoadPreset = {
  name: 'steppe-panel',
  organisations: buildOrganisations('chain'),
  jobs: [
    { type: 'completion', name: 'labour-code', share: 5, model: 'labour-code', maxTokens: 8, shape: { manuals: 6, sections: 12, manualWords: 600, sectionWords: 1_200, caseWords: 80, skew: 1 } },
    { type: 'completion', name: 'line-items', share: 4, model: 'line-items', maxTokens: 48, shape: { manuals: 6, sections: 12, manualWords: 600, sectionWords: 400, caseWords: 80, skew: 1 } },
    { type: 'order', name: 'submission', share: 1, path: '/claims/submissions' }
  ]
}

/** Traffic mixes by preset name. */
export const LOAD_PRESETS = { lindqvist: LINDQVIST, 'steppe-panel': STEPPE_PANEL } as const

/** Name of one of {@link LOAD_PRESETS}. */
export type LoadPresetName = keyof typeof LOAD_PRESETS

function buildOrganisations (namePrefix: string) {
  return Array.from({ length: ORGANISATION_COUNT }, (_, i) => ({
    name: `${namePrefix}-${i + 1}`,
    accessKey: `example-${namePrefix}-${i + 1}-key`,
    share: i < LARGE_ORGANISATION_COUNT ? LARGE_SHARE : 1
  }))
}
