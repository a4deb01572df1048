import type { OrganisationName } from './ids.ts'

/** Spec of a caller's access key; only the hash of the key is stored. */
export interface AccessKeySpec {
  organisation: OrganisationName
  /** SHA-256 of the key, 64 hex characters. */
  keyHash: string
}
