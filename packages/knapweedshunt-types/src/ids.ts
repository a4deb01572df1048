/** Identifiers that travel between the processes. All are opaque strings unless a shape is given. */

/** Name of an entry VM, as the platform lists it. */
export type VmId = string

/** Random number (hex, 16 characters) that a process draws at each start. */
export type Incarnation = string

/** Name of a data centre, from settings. */
export type DataCentreId = string

/** Name of an `Organisation` resource. */
export type OrganisationName = string

/** Name of an `Endpoint` resource. */
export type EndpointName = string

/** Name of an `EndpointPool` resource. */
export type PoolName = string

/** Global number of an accepted change; grows by one per change, 0 before the first. */
export type Revision = number

/** Fencing number of a lease; a greater one always wins. */
export type FencingNumber = number

/** Version label of model weights. */
export type WeightsVersion = string

/** Random id of one caller request, carried through logs and attempts. */
export type RequestId = string

/** Id of one attempt of a request on one endpoint. */
export type AttemptId = string
