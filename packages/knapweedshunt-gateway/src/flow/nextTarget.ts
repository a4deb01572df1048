import type { PrefixLevel } from 'knapweedshunt-types'
import type { ChosenEndpoint } from '../endpoints/endpointChooser.ts'
import type { PeerView } from '../peers/peerAddress.ts'

/** Where the next attempt of a request goes; `homeLevels` are the prefix levels by which the endpoint was chosen. */
export type NextTarget =
  | { type: 'endpoint', chosen: ChosenEndpoint, homeLevels: PrefixLevel[] }
  | { type: 'peer', peer: PeerView }
