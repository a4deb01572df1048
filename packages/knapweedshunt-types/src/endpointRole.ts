/** Roles of an engine: `serve` accepts new requests, `drain` finishes the requests in flight and receives no new ones. */
export const ENDPOINT_ROLES = ['serve', 'drain'] as const

/** One of {@link ENDPOINT_ROLES}. */
export type EndpointRole = typeof ENDPOINT_ROLES[number]
