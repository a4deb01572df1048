import type { LoadPresetName } from 'knapweedshunt-load'

/** One of the deployments that the quickstart runs. */
export interface ExampleDeployment {
  name: LoadPresetName
  /** File of resources, from the repository's root. */
  file: string
}

/** Both deployments at today's sizes. */
export const EXAMPLE_DEPLOYMENTS: ExampleDeployment[] = [
  { name: 'lindqvist', file: 'examples/lindqvist.yaml' },
  { name: 'steppe-panel', file: 'examples/steppe-panel.yaml' }
]
