import { createRpcClient } from 'knapweedshunt-rpc'
import type { RpcClient } from 'knapweedshunt-rpc'
import type { EndpointName, VmId, VmView } from 'knapweedshunt-types'

/** What the data path saw of an endpoint. */
export type EndpointOutcome = 'answered' | 'failed' | 'refused'

const TIMEOUT_MS = 1_000

/** Tells the local control which endpoints fail, and when one of these answers again. */
export class EndpointObserver {
  readonly #vm: VmId
  readonly #peerKey: string
  readonly #failing = new Set<EndpointName>()
  #url = ''
  #control: RpcClient | null = null

  constructor (vm: VmId, peerKey: string) {
    this.#vm = vm
    this.#peerKey = peerKey
  }

  /** Takes the VMs of a snapshot; this one's own entry says where control is. */
  takeVms (vms: VmView[]): void {
    const url = vms.find(view => view.vm === this.#vm)?.controlUrl ?? ''
    if (url === this.#url) return
    this.close()
    this.#url = url
    if (url !== '') this.#control = createRpcClient({ url, sharedKey: this.#peerKey, timeoutMs: TIMEOUT_MS })
  }

  /** Notes an outcome; answers of endpoints that did not fail are not told. */
  note (endpoint: EndpointName, outcome: EndpointOutcome): void {
    if (outcome === 'answered' && !this.#failing.delete(endpoint)) return
    if (outcome !== 'answered') this.#failing.add(endpoint)
    // A control that is gone learns the endpoints' state from its own polls when it is back.
    this.#control?.call('control.observe', { endpoint, outcome }).catch(() => {})
  }

  /** Closes the connection. */
  close (): void {
    this.#control?.close()
    this.#control = null
  }
}
