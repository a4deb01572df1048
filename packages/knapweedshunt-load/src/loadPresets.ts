import type { LoadPreset } from './loadPreset.ts'

const ORGANISATIONS = 8
const LARGE_ORGANISATIONS = 3
const LARGE_SHARE = 5

/** Mix of the hotel deployment: route checks and guest notes over house rules, delivery orders. */
const LINDQVIST: LoadPreset = {
  name: 'lindqvist',
  organisations: listOrganisations('hotel'),
  jobs: [
    { type: 'completion', name: 'route-check', share: 6, model: 'route-check', maxTokens: 16, shape: { manuals: 2, sections: 6, manualWords: 800, sectionWords: 200, caseWords: 40, skew: 2 } },
    { type: 'completion', name: 'guest-note', share: 3, model: 'guest-note', maxTokens: 48, shape: { manuals: 2, sections: 6, manualWords: 800, sectionWords: 200, caseWords: 60, skew: 2 } },
    { type: 'order', name: 'delivery', share: 1, path: '/dispatch/deliveries' }
  ]
}

/** Mix of the body-shop deployment: labour codes over manual sections, line items, estimate submissions. */
const STEPPE_PANEL: LoadPreset = {
  name: 'steppe-panel',
  organisations: listOrganisations('chain'),
  jobs: [
    { type: 'completion', name: 'labour-code', share: 5, model: 'labour-code', maxTokens: 8, shape: { manuals: 6, sections: 12, manualWords: 600, sectionWords: 1_200, caseWords: 80, skew: 1 } },
    { type: 'completion', name: 'line-items', share: 4, model: 'line-items', maxTokens: 48, shape: { manuals: 6, sections: 12, manualWords: 600, sectionWords: 400, caseWords: 80, skew: 1 } },
    { type: 'order', name: 'submission', share: 1, path: '/claims/submissions' }
  ]
}

/** Mixes by name. */
export const LOAD_PRESETS = { lindqvist: LINDQVIST, 'steppe-panel': STEPPE_PANEL } as const

/** One of {@link LOAD_PRESETS}. */
export type LoadPresetName = keyof typeof LOAD_PRESETS

function listOrganisations (stem: string) {
  return Array.from({ length: ORGANISATIONS }, (_, i) => ({
    name: `${stem}-${i + 1}`,
    accessKey: `example-${stem}-${i + 1}-key`,
    share: i < LARGE_ORGANISATIONS ? LARGE_SHARE : 1
  }))
}
