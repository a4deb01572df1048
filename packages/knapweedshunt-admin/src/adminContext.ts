import type { Platform } from 'knapweedshunt-platform'
import type { ResourceStore } from 'knapweedshunt-resources'
import type { RpcClient } from 'knapweedshunt-rpc'

/** Clients and stores that the admin request handlers use. */
export interface AdminContext {
  platform: Platform
  store: ResourceStore
  control: RpcClient
  router: RpcClient
}
