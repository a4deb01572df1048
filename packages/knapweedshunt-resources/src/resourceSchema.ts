import { z } from 'zod'

const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/
const SHA256_PATTERN = /^[0-9a-f]{64}$/
const MAX_TIMEOUT_MS = 3_600_000

const name = z.string().regex(NAME_PATTERN, 'must be 1 to 63 lowercase letters, digits or hyphens, such as "front-desk"')
const positive = z.number().positive()
const count = z.number().int().nonnegative()
const organisation = z.strictObject({ weight: positive.default(1) })
const accessKey = z.strictObject({ organisation: name, keyHash: z.string().regex(SHA256_PATTERN, 'must be the SHA-256 of the key, 64 hex characters') })
const modelPool = z.strictObject({
  type: z.literal('model'),
  model: z.string().min(1),
  adapter: z.string().min(1).optional(),
  weightsVersion: z.string().min(1),
  objective: z.enum(['tail', 'reuse']),
  floor: count.default(1),
  maxParallelLoads: z.number().int().positive().default(1)
})
const servicePool = z.strictObject({ type: z.literal('service'), floor: count.default(1) })
const endpoint = z.strictObject({
  pool: name,
  url: z.url({ protocol: /^http$/, hostname: /^\d+\.\d+\.\d+\.\d+$/, error: 'must be http:// with an IPv4 address, such as "http://10.0.0.7:8000"' }),
  dataCentre: name,
  weight: positive.default(1),
  cacheBlocks: count.default(0),
  checksFencing: z.boolean().default(false),
  checksIdempotencyKeys: z.boolean().default(false),
  draining: z.boolean().default(false)
})
const routeMatch = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('model'), model: z.string().min(1) }),
  z.strictObject({ type: z.literal('path'), prefix: z.string().min(1) })
])
const route = z.strictObject({
  match: routeMatch,
  pool: name,
  repeatable: z.boolean(),
  job: z.enum(['short', 'long']).default('short'),
  priorityClass: name,
  timeoutMs: z.number().int().positive().max(MAX_TIMEOUT_MS).default(60_000)
})
const priorityClass = z.strictObject({ rank: count, ageingMs: z.number().int().positive().default(1_000), enginePriority: z.number().int() })
const limit = z.strictObject({ organisation: name, requestsPerSecond: positive, concurrent: z.number().int().positive() })
const weightsRollout = z.strictObject({
  pool: name,
  weightsVersion: z.string().min(1),
  adapter: z.string().min(1).optional(),
  paused: z.boolean().default(false),
  undo: z.boolean().default(false)
})
const revision = count.default(0)

/** Schema of every kind of declared resource; unknown fields are rejected and defaults filled in. */
export const resourceSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('Organisation'), name, revision, spec: organisation }),
  z.strictObject({ kind: z.literal('AccessKey'), name, revision, spec: accessKey }),
  z.strictObject({ kind: z.literal('EndpointPool'), name, revision, spec: z.discriminatedUnion('type', [modelPool, servicePool]) }),
  z.strictObject({ kind: z.literal('Endpoint'), name, revision, spec: endpoint }),
  z.strictObject({ kind: z.literal('Route'), name, revision, spec: route }),
  z.strictObject({ kind: z.literal('PriorityClass'), name, revision, spec: priorityClass }),
  z.strictObject({ kind: z.literal('Limit'), name, revision, spec: limit }),
  z.strictObject({ kind: z.literal('WeightsRollout'), name, revision, spec: weightsRollout })
])
