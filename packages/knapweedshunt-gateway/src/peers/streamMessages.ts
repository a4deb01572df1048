import { z } from 'zod'

/** Maximum number of streams in one message. */
export const MAX_MESSAGE_STREAMS = 500

/** Maximum number of software versions in one message. */
export const MAX_MESSAGE_VERSIONS = 100

const text = z.string().min(1).max(255)
const softwareVersion = z.string().max(255)

/** Params of `streams.record`: streams and the software versions that began them, and whether the VM stores them and answers only then; earlier builds do not say. */
export const recordParamsSchema = z.object({ pool: text, streams: z.array(z.object({ key: text, softwareVersion, mustStore: z.boolean().default(false) })).max(MAX_MESSAGE_STREAMS), waitsUntilStored: z.boolean().default(false) })

/** Params of `streams.versions`: software versions that the endpoints of a pool have. */
export const versionsParamsSchema = z.object({ pool: text, softwareVersions: z.array(softwareVersion).max(MAX_MESSAGE_VERSIONS) })

/** Params of `streams.find`. */
export const findParamsSchema = z.object({ pool: text, key: text })

/** Result of `streams.find`: what began the stream, or else the only version that can have begun one lately; null for what is not known. `isRestored` if the VM has read the rows of its earlier incarnations; earlier builds do not say. */
export const findResultSchema = z.object({ softwareVersion: softwareVersion.nullable(), onlyVersion: softwareVersion.nullable(), isRestored: z.boolean().default(true) })

/** Output type of {@link findResultSchema}. */
export type FindResult = z.output<typeof findResultSchema>
