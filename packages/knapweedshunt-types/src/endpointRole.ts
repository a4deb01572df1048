/** What an engine does: `serve` takes new requests, `drain` finishes those it has and is given no others. */
export const ENDPOINT_ROLES = ['serve', 'drain'] as const

/** One of {@link ENDPOINT_ROLES}. */
export type EndpointRole = typeof ENDPOINT_ROLES[number]
