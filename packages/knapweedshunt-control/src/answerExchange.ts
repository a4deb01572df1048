import type { DataCentreDirectory, VmMembership } from 'knapweedshunt-membership'
import type { ResourceReplica } from 'knapweedshunt-resources'
import { splitBeats } from './beats.ts'
import type { ControlAction } from './controlEvents.ts'
import type { ExchangeAnswer, ExchangeRequest } from './controlMessages.ts'
import type { ExchangePlan } from './exchangePlan.ts'

/** What a control answers from. */
export interface AnswerSources {
  vms: VmMembership
  centres: DataCentreDirectory
  replica: ResourceReplica
  exchanges: ExchangePlan
}

/** Answer to a peer, and what follows from its request. */
export interface PeerAnswer {
  answer: ExchangeAnswer
  actions: ControlAction[]
}

/** Answers a peer with what it lacks; a peer that is ahead is asked in turn. */
export function answerExchange ({ vms, centres, replica, exchanges }: AnswerSources, request: ExchangeRequest): PeerAnswer {
  if (request.own) vms.applyDeltas([request.own])
  const { revision } = replica.snapshot
  const answer: ExchangeAnswer = { revision }
  if (request.known) {
    const { deltas, beats } = splitBeats(vms.buildDeltas(request.known))
    answer.deltas = deltas
    answer.beats = beats
    answer.knows = vms.findState(request.from.vm) !== undefined
  }
  if (request.centres) answer.centres = centres.buildDeltas(request.centres)
  if (request.revision < revision) answer.changes = replica.listChangesAfter(request.revision) ?? undefined
  return { answer, actions: request.revision > revision ? [exchanges.buildBehind(request.from)] : [] }
}
