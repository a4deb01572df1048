import type { LoadPresetName } from 'knapweedshunt-load'

/** An example deployment that the quickstart runs. */
export interface ExampleDeployment {
  name: LoadPresetName
  /** Path of the resource file, relative to the repository root. */
  file: string
}

/** The example deployments that the quickstart starts, in this order. */
export const EXAMPLE_DEPLOYMENTS: ExampleDeployment[] = [
  { name: 'lindqvist', file: 'examples/lindqvist.yaml' },
  { name: 'steppe-panel', file: 'examples/steppe-panel.yaml' }
]
