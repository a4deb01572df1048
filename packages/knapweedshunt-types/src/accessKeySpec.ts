import type { OrganisationName } from './ids.ts'

/** A caller's access key, kept only as a hash. */
export interface AccessKeySpec {
  organisation: OrganisationName
  /** SHA-256 of the key, 64 hex characters. */
  keyHash: string
}
