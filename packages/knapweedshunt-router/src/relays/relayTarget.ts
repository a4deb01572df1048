import type { RelayPeer } from 'knapweedshunt-membership'

/** A router that may serve requests of this one. */
export interface RelayTarget extends RelayPeer {
  /** Base URL of its port for peers. */
  url: string
}
