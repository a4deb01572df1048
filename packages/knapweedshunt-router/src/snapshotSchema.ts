import { resourceSchema } from 'knapweedshunt-resources'
import { LIVENESS_STATES } from 'knapweedshunt-types'
import type { Resource, RouterSnapshot, RouterViews } from 'knapweedshunt-types'
import { z } from 'zod'

const liveness = z.enum(LIVENESS_STATES)
const count = z.number().nonnegative()
const loadReport = z.looseObject({
  endpoint: z.string(),
  incarnation: z.string(),
  weightsVersion: z.string().nullable(),
  softwareVersion: z.string().optional(),
  running: count,
  queued: count,
  queuedTokens: count,
  atMs: z.number()
})
const endpointView = z.looseObject({
  endpoint: z.string(),
  incarnation: z.string(),
  state: liveness,
  weightsVersion: z.string().nullable(),
  load: loadReport.nullable(),
  loadAgeMs: count
})
const vmView = z.looseObject({
  vm: z.string(),
  incarnation: z.string(),
  dataCentre: z.string(),
  controlUrl: z.string(),
  routerUrl: z.string(),
  state: liveness,
  appliedRevision: z.number()
})
const revision = z.number().int().nonnegative()
const lists = { vms: z.array(vmView), endpoints: z.array(endpointView), avoided: z.array(z.string()).optional() }
const snapshot = z.looseObject({ resources: z.object({ revision, resources: z.array(z.unknown()) }), ...lists })
const views = z.looseObject({ revision, ...lists })
const resources = z.array(resourceSchema)

/** Validates a snapshot. Resources are validated only when their revision differs from that of `current`, the snapshot in use. Throws ZodError. */
export function parseSnapshot (params: unknown, current: RouterSnapshot | null): RouterSnapshot {
  const parsed = snapshot.parse(params)
  const { revision } = parsed.resources
  if (current !== null && revision === current.resources.revision) return { ...parsed, resources: current.resources }
  return { ...parsed, resources: { revision, resources: resources.parse(parsed.resources.resources) as Resource[] } }
}

/** Validates views. Throws ZodError. */
export function parseViews (params: unknown): RouterViews {
  return views.parse(params)
}
