import type { EndpointName } from 'knapweedshunt-types'

/** Which endpoints of a pool may be chosen for an attempt. */
export type EndpointScope =
  /** Those not tried before; if there are none, any. */
  | { type: 'untriedFirst' }
  /** Those not tried before, as one that was tried is at work on the request. */
  | { type: 'untried' }
  /** These, as the request must reach no further ones. */
  | { type: 'only', endpoints: EndpointName[] }
