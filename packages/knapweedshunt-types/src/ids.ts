/** Identifiers that are exchanged between processes. All are opaque strings unless a format is given. */

/** Name of an entry VM in the platform's VM list. */
export type VmId = string

/** Random id (16 hex characters) that a process draws at each start; tells restarts apart. */
export type Incarnation = string

/** Name of a data centre from the settings. */
export type DataCentreId = string

/** Name of an `Organisation` resource. */
export type OrganisationName = string

/** Name of an `Endpoint` resource. */
export type EndpointName = string

/** Name of an `EndpointPool` resource. */
export type PoolName = string

/** Global sequence number of an accepted change; incremented by one per change, 0 before the first. */
export type Revision = number

/** Fencing token of a lease; a greater one supersedes all lower ones. */
export type FencingToken = number

/** Version label of model weights. */
export type WeightsVersion = string

/** Random id of one caller request; appears in its log lines and attempts. */
export type RequestId = string

/** Id of one attempt of a request on one endpoint. */
export type AttemptId = string
