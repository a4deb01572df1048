import { ROW_LENGTH } from 'knapweedshunt-membership'
import { ENDPOINT_ROLES } from 'knapweedshunt-types'
import { z } from 'zod'

const count = z.number().int().nonnegative()
const incarnation = z.string().max(64)
const caller = z.object({ vm: z.string().min(1), dataCentre: z.string().min(1), url: z.url({ protocol: /^http$/ }) })
const view = z.object({
  vm: z.string().min(1),
  incarnation: z.string().min(8),
  dataCentre: z.string().min(1),
  controlUrl: z.string(),
  routerUrl: z.string(),
  state: z.enum(['live', 'suspect', 'leaving', 'dead']),
  appliedRevision: count,
  order: count.optional()
})
const rows = z.array(count).refine(numbers => numbers.length % ROW_LENGTH === 0, `must be rows of ${ROW_LENGTH} numbers`)
const boot = z.object({ i: count, incarnation, weightsVersion: z.string().nullable(), adapter: z.string().optional(), softwareVersion: z.string().optional(), role: z.enum(ENDPOINT_ROLES).optional() })
const endpointStatus = z.object({ set: z.string().optional(), rows: rows.optional(), boots: z.array(boot).optional(), down: z.array(count).optional(), dead: z.array(count).optional(), lost: z.array(count).optional(), extra: z.array(count).optional() })
const failureReport = z.object({ suspects: z.array(z.string()), dead: z.array(z.object({ vm: z.string(), order: count })) })
const delta = z.object({
  k: z.string().min(1),
  v: count,
  s: count.optional(),
  view: view.optional(),
  r: count.optional(),
  p: z.boolean().optional(),
  c: failureReport.optional(),
  e: endpointStatus.optional()
})

/** Validates the params of `control.exchange`, an `ExchangeRequest`. */
export const exchangeSchema = z.object({
  from: caller,
  revision: count,
  known: z.record(z.string(), count).optional(),
  own: delta.optional(),
  centres: z.object({ seqs: z.record(z.string(), count), rosters: z.record(z.string(), z.string()) }).optional()
})

const resource = z.looseObject({ kind: z.string(), name: z.string(), revision: count })
const op = z.discriminatedUnion('type', [
  z.object({ type: z.literal('put'), resource }),
  z.object({ type: z.literal('delete'), kind: z.string(), name: z.string() })
])
const change = z.object({ revision: count, changeId: z.string(), ops: z.array(op) })

/** Validates the params of `control.push`, a `PushRequest`. */
export const pushSchema = z.object({ from: caller, revision: count, changes: z.array(change).nullable() })

/** Validates the params of `control.changes`, a `ChangesRequest`. */
export const changesSchema = z.object({ after: count })

/** Validates the params of `control.observe`: the outcome of a request that the local router sent to an endpoint. */
export const observeSchema = z.object({ endpoint: z.string().min(1), outcome: z.enum(['answered', 'failed', 'refused']) })
