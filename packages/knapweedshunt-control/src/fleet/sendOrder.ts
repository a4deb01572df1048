import type { EndpointCommand, CommandRequest, CommandResult } from 'knapweedshunt-fleet'
import { callJson } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'

const FIRST_ERROR = 400

/** Sends an order to an endpoint's management calls. Never throws. */
export async function sendOrder ({ command: order, spec, fencing, timeoutMs }: CommandRequest): Promise<CommandResult> {
  const head = { fencing, incarnation: order.incarnation }
  try {
    const { path, body } = buildBody(order)
    const answer = await callJson({ method: 'POST', url: spec.url + path, body: { ...head, ...body }, timeoutMs })
    return answer.status < FIRST_ERROR ? 'taken' : 'refused'
  } catch {
    return 'lost'
  }
}

interface OrderBody {
  path: string
  body: object
}

function buildBody (order: EndpointCommand): OrderBody {
  return match(order)
    .with({ type: 'weights' }, ({ weights }) => ({ path: '/manage/weights', body: weights }))
    .with({ type: 'role' }, ({ role }) => ({ path: '/manage/role', body: { role } }))
    .exhaustive()
}
