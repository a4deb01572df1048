import type { RpcMethods } from 'knapweedshunt-rpc'
import type { ControlIo } from './controlIo.ts'
import type { PushRequest } from './controlMessages.ts'
import type { ControlNode } from './controlNode.ts'
import { changesSchema, exchangeSchema, observeSchema, pushSchema } from './messageSchemas.ts'

/** Creates the RPC methods that peers, the local admin and the local router call. Params are validated before they reach the node. */
export function createControlMethods (node: ControlNode, io: ControlIo): RpcMethods {
  return {
    'control.exchange': params => {
      const { answer, actions } = node.answerExchange(exchangeSchema.parse(params))
      io.runInBackground(actions)
      return answer
    },
    'control.push': params => {
      io.runInBackground(node.handleEvent({ type: 'pushed', push: pushSchema.parse(params) as PushRequest }))
      return {}
    },
    'control.snapshot': () => node.replica.snapshot,
    'control.status': () => node.buildStatus(),
    'control.changes': params => node.answerChanges(changesSchema.parse(params).after),
    'control.observe': params => {
      io.runInBackground(node.handleEvent({ type: 'observed', ...observeSchema.parse(params) }))
      return {}
    }
  }
}
