import type { Platform } from 'knapweedshunt-platform'
import type { ResourceStore } from 'knapweedshunt-resources'
import type { RpcClient } from 'knapweedshunt-rpc'

/** What the admin calls work with. */
export interface AdminContext {
  platform: Platform
  store: ResourceStore
  control: RpcClient
  router: RpcClient
}
