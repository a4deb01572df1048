import type { DataCentreDirectory, VmMembership } from 'knapweedshunt-membership'
import type { ResourceReplica } from 'knapweedshunt-resources'
import { splitHeartbeats } from './splitHeartbeats.ts'
import type { ControlAction } from './controlEvents.ts'
import type { ExchangeAnswer, ExchangeRequest } from './controlMessages.ts'
import type { ExchangeBuilder } from './exchangeBuilder.ts'

/** State from which a peer's exchange request is answered. */
export interface AnswerSources {
  vms: VmMembership
  dataCentres: DataCentreDirectory
  replica: ResourceReplica
  exchangeBuilder: ExchangeBuilder
}

/** Answer to a peer's exchange request, with the actions to run because of it. */
export interface PeerAnswer {
  answer: ExchangeAnswer
  actions: ControlAction[]
}

/** Builds the answer with the state that the peer lacks. If the peer has a newer revision, the actions hold an exchange back to it. */
export function answerExchange ({ vms, dataCentres, replica, exchangeBuilder }: AnswerSources, request: ExchangeRequest): PeerAnswer {
  if (request.own) vms.applyDeltas([request.own])
  const { revision } = replica.snapshot
  const answer: ExchangeAnswer = { revision }
  if (request.known) {
    const { deltas, heartbeats } = splitHeartbeats(vms.buildDeltas(request.known))
    answer.deltas = deltas
    answer.beats = heartbeats
    answer.knows = vms.findState(request.from.vm) !== undefined
  }
  if (request.centres) answer.centres = dataCentres.buildDeltas(request.centres)
  if (request.revision < revision) answer.changes = replica.listChangesAfter(request.revision) ?? undefined
  return { answer, actions: request.revision > revision ? [exchangeBuilder.buildCatchUpExchange(request.from)] : [] }
}
