/** VMs and endpoints: live, suspect, leaving, dead; incarnations; digests. */
export * from './endpointMembership.ts'
export * from './membershipOptions.ts'
export * from './vmDigest.ts'
export * from './vmMembership.ts'
