import type { RpcMethods } from 'knapweedshunt-rpc'
import type { DataPath } from '../dataPath.ts'
import { parseHandover, parseTicketQuery } from './bookMessages.ts'
import { parseForwardedOrder, parseForwardedStatus } from './forwardedOrder.ts'
import { runForwarded } from './runOrder.ts'

/** Methods that peer routers call for tickets. */
export function createOrderRpc (path: DataPath): RpcMethods {
  const { service } = path.orders
  return {
    'router.runTicket': params => runForwarded(path, parseForwardedOrder(params)),
    'router.readTicket': params => {
      const { organisation, ticket } = parseForwardedStatus(params)
      return service.readTicket(organisation, ticket)
    },
    'router.takeBook': params => {
      service.acceptHandover(parseHandover(params))
      return {}
    },
    'router.findTicket': params => ({ reply: service.answerTicketQuery(parseTicketQuery(params)) })
  }
}
