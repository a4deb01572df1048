import { createRpcClient } from 'knapweedshunt-rpc'
import type { RpcClient } from 'knapweedshunt-rpc'
import type { EndpointName, VmId, VmView } from 'knapweedshunt-types'

/** Outcome of an attempt on an endpoint, as reported to control. */
export type EndpointOutcome = 'answered' | 'failed' | 'refused'

const TIMEOUT_MS = 1_000

/** Reports failing endpoints to the local control, and the first success of an endpoint that had failed. */
export class EndpointOutcomeReporter {
  readonly #vm: VmId
  readonly #peerKey: string
  readonly #failingEndpoints = new Set<EndpointName>()
  #controlUrl = ''
  #control: RpcClient | null = null

  constructor (vm: VmId, peerKey: string) {
    this.#vm = vm
    this.#peerKey = peerKey
  }

  /** Applies the VMs of a snapshot; the entry of this VM holds the URL of control. */
  applyVms (vms: VmView[]): void {
    const url = vms.find(view => view.vm === this.#vm)?.controlUrl ?? ''
    if (url === this.#controlUrl) return
    this.close()
    this.#controlUrl = url
    if (url !== '') this.#control = createRpcClient({ url, sharedKey: this.#peerKey, timeoutMs: TIMEOUT_MS })
  }

  /** Records an outcome and reports it, except the successes of endpoints that had not failed. */
  recordOutcome (endpoint: EndpointName, outcome: EndpointOutcome): void {
    if (outcome === 'answered' && !this.#failingEndpoints.delete(endpoint)) return
    if (outcome !== 'answered') this.#failingEndpoints.add(endpoint)
    // A report that is lost while control is down needs no retry: control polls the endpoints itself after its restart.
    this.#control?.call('control.observe', { endpoint, outcome }).catch(() => {})
  }

  /** Closes the connection to control. */
  close (): void {
    this.#control?.close()
    this.#control = null
  }
}
