import test from 'ava'
import type { VmView } from 'knapweedshunt-types'
import { EndpointMembership } from '../endpointMembership.ts'
import { KnownVm } from '../knownVm.ts'

const VMS = ['vm-a', 'vm-b']

function buildVm (vm: string): KnownVm {
  const view: VmView = { vm, incarnation: `${vm}-1`, dataCentre: 'dc-1', controlUrl: '', routerUrl: '', state: 'live', appliedRevision: 1 }
  return new KnownVm(view, 1)
}

test('a VM passes on the software version that an endpoint reports', t => {
  const [polling, other] = VMS.map(buildVm)
  const [pollingMembership, otherMembership] = [new EndpointMembership(), new EndpointMembership()]
  for (const membership of [pollingMembership, otherMembership]) membership.setEndpoints(['e'])
  pollingMembership.listAssigned(polling, ['vm-a'])
  pollingMembership.recordLoad(polling, { endpoint: 'e', incarnation: 'e-1', weightsVersion: 'w1', softwareVersion: 'v1', running: 0, queued: 0, queuedTokens: 0, atMs: 0 })
  otherMembership.listAssigned(other, ['vm-a'])
  polling.updateOwn({ appliedRevision: 2 })
  const received = buildVm('vm-a')
  received.applyDelta(polling.buildDelta('k', undefined)!)
  t.is(otherMembership.listEndpoints(other, [received])[0].load?.softwareVersion, 'v1')
})
