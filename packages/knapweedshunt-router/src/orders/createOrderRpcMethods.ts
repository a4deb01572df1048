import type { RpcMethods } from 'knapweedshunt-rpc'
import type { DataPath } from '../dataPath.ts'
import { parseHandover, parseTicketQuery } from './handoverMessages.ts'
import { parseForwardedOrder, parseForwardedStatusQuery } from './forwardedOrder.ts'
import { runForwardedOrder } from './runOrder.ts'

/** Creates the JSON-RPC methods that peer routers call to run and read pinned tickets and to hand over their ledgers. */
export function createOrderRpcMethods (path: DataPath): RpcMethods {
  const { service } = path.orders
  return {
    'router.runTicket': params => runForwardedOrder(path, parseForwardedOrder(params)),
    'router.readTicket': params => {
      const { organisation, ticket } = parseForwardedStatusQuery(params)
      return service.readTicket(organisation, ticket)
    },
    'router.takeBook': params => {
      service.acceptHandover(parseHandover(params))
      return {}
    },
    'router.findTicket': params => ({ reply: service.answerTicketQuery(parseTicketQuery(params)) })
  }
}
