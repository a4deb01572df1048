/** What a VM tells another one with its response to a relayed request. */
export type RelayAnswer =
  /** The response is that of an endpoint; `endpointCount` endpoints have or may have run the request. */
  | { type: 'forwarded', endpoint: string, incarnation: string, softwareVersion: string, endpointCount: number }
  /** The response is the VM's own; `isLocal` if another VM may accept the request. */
  | { type: 'refused', reason: string, mayHaveRun: boolean, isLocal: boolean, retryAfterMs: number | null }
