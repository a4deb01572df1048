import type { RpcMethods } from 'knapweedshunt-rpc'
import type { ControlIo } from './controlIo.ts'
import type { PushRequest } from './controlMessages.ts'
import type { ControlNode } from './controlNode.ts'
import { changesSchema, exchangeSchema, observeSchema, pushSchema } from './messageSchemas.ts'

/** Methods that peers, the local admin and the local router call. Params are checked before the node sees them. */
export function createControlMethods (node: ControlNode, io: ControlIo): RpcMethods {
  return {
    'control.exchange': params => {
      const { answer, actions } = node.answerExchange(exchangeSchema.parse(params))
      io.start(actions)
      return answer
    },
    'control.push': params => {
      io.start(node.take({ type: 'pushed', push: pushSchema.parse(params) as PushRequest }))
      return {}
    },
    'control.snapshot': () => node.replica.snapshot,
    'control.status': () => node.buildStatus(),
    'control.changes': params => node.answerChanges(changesSchema.parse(params).after),
    'control.observe': params => {
      io.start(node.take({ type: 'observed', ...observeSchema.parse(params) }))
      return {}
    }
  }
}
