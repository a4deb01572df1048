import type { RpcClient } from 'knapweedshunt-rpc'
import type { ExchangeAnswer, ExchangeRequest } from './controlMessages.ts'
import type { ControlState } from './controlState.ts'
import type { PeerClients } from './peerClients.ts'

/** Exchanges digests and resources with every peer; a peer that does not answer is left to the failure detection. */
export async function exchangePeers (state: ControlState, clients: PeerClients): Promise<void> {
  const request: ExchangeRequest = { digests: state.vms.buildDigests(), revision: state.replica.snapshot.revision }
  const peers = state.vms.listPeerUrls().map(url => clients.open(url))
  await Promise.all(peers.map(peer => exchangeOne(state, peer, request)))
}

async function exchangeOne (state: ControlState, peer: RpcClient, request: ExchangeRequest): Promise<void> {
  try {
    state.takeExchange(await peer.call('control.exchange', request) as ExchangeAnswer)
  } catch {
    // Silence is evidence enough: the membership judges by heartbeats.
  }
}
