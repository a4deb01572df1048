import type { EndpointCommand, CommandRequest, CommandResult } from 'knapweedshunt-fleet'
import { requestJson } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'

const MIN_ERROR_STATUS = 400

/** Sends a command to an endpoint's management API. `lost` means that it is unknown whether the endpoint executed it. Never throws. */
export async function sendCommand ({ command, spec, fencing, timeoutMs }: CommandRequest): Promise<CommandResult> {
  const head = { fencing, incarnation: command.incarnation }
  try {
    const { path, body } = buildManagementCall(command)
    const answer = await requestJson({ method: 'POST', url: spec.url + path, body: { ...head, ...body }, timeoutMs })
    return answer.status < MIN_ERROR_STATUS ? 'taken' : 'refused'
  } catch {
    return 'lost'
  }
}

interface ManagementCall {
  path: string
  body: object
}

function buildManagementCall (command: EndpointCommand): ManagementCall {
  return match(command)
    .with({ type: 'weights' }, ({ weights }) => ({ path: '/manage/weights', body: weights }))
    .with({ type: 'role' }, ({ role }) => ({ path: '/manage/role', body: { role } }))
    .exhaustive()
}
