/** Headers between two VMs, in lower case: the key of the VM that serves the request, what the first VM says of it, and what the second one says of its response, both as JSON. */
export const RELAY_HEADER = { key: 'knapweedshunt-relay-key', request: 'knapweedshunt-relay-request', answer: 'knapweedshunt-relay-answer' } as const
