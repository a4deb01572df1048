import type { ResourceStore } from 'knapweedshunt-resources'
import type { RpcClient } from 'knapweedshunt-rpc'

/** What the admin calls work with. */
export interface AdminContext {
  store: ResourceStore
  control: RpcClient
  router: RpcClient
}
