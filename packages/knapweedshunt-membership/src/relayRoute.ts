/** How a request gets to an endpoint of its pool: from this VM, through another one, or not at all. */
export type RelayRoute<Peer> =
  | { type: 'direct' }
  | { type: 'relay', peer: Peer }
  | { type: 'unreached' }
