import type { VmSettings } from '../ports/vmSettings.ts'

const BYTES_PER_MB = 1024 * 1024

/** Memory of a VM whose settings state none, in megabytes. */
const DEFAULT_MEMORY_MB = 192

/** Descriptors of a VM whose settings state none. */
const DEFAULT_DESCRIPTORS = 4_096

/** Descriptors that are not for connections. */
const FILE_DESCRIPTORS = 200

/** Share of the connections that callers may open; each of their requests may need one to an endpoint, and the store, other VMs, readiness checks and metrics need theirs. */
const CALLER_CONNECTION_SHARE = 0.45

/** Shares of the connections that other VMs may open, and health checks and collectors of metrics each. */
const PEER_CONNECTION_SHARE = 0.25
const CHECK_CONNECTION_SHARE = 0.02

/** Memory that a connection takes, in bytes, and the shares of the VM's memory that those of callers and of other VMs may take. */
const CONNECTION_BYTES = 20 * 1024
const CONNECTION_MEMORY_SHARE = 1 / 5
const PEER_CONNECTION_MEMORY_SHARE = 1 / 10

/** Shares of the VM's memory for bodies: those that are kept, the first parts of others, and rests that are read ahead. */
const KEPT_SHARE = 1 / 10
const FIRST_PART_SHARE = 1 / 30
const READ_AHEAD_SHARE = 1 / 20
const COLLECTED_SHARE = 1 / 40

/** Share of the VM's memory for bytes that wait to be parsed, and the size of one read, in bytes. */
const PARSING_SHARE = 1 / 10
const READ_BYTES = 64 * 1024

/** Memory that a request takes while it waits behind others of its connection, in bytes, and the share of the VM's memory that all of them may take. */
const WAITING_REQUEST_BYTES = 8 * 1024
const WAITING_SHARE = 1 / 12

/** What all callers of a VM together may take. */
export interface CallerBounds {
  maxConnections: number
  /** Requests that wait behind others of their connections. */
  maxWaitingRequests: number
  /** Bytes of bodies that are kept. */
  keptBytes: number
  /** Bytes beyond them that only first parts of bodies may take. */
  firstPartBytes: number
  /** Bytes of bodies that are read before anybody asks for them. */
  readAheadBytes: number
  /** Bytes of bodies that may arrive until the buffers of those that were handed on are collected. */
  collectedBytes: number
  /** Connections whose bytes may wait to be parsed. */
  maxParsingWaits: number
}

/** Computes what callers may take from the memory and the descriptors of the VM. */
export function computeCallerBounds ({ memoryMb, maxDescriptors, maxCallerConnections }: Pick<VmSettings, 'memoryMb' | 'maxDescriptors' | 'maxCallerConnections'>): CallerBounds {
  const memoryBytes = computeMemoryBytes(memoryMb)
  const sockets = computeSockets(maxDescriptors)
  return {
    maxConnections: maxCallerConnections ?? roundConnections(Math.min(sockets * CALLER_CONNECTION_SHARE, memoryBytes * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES)),
    maxWaitingRequests: Math.floor(memoryBytes * WAITING_SHARE / WAITING_REQUEST_BYTES),
    keptBytes: Math.floor(memoryBytes * KEPT_SHARE),
    firstPartBytes: Math.floor(memoryBytes * FIRST_PART_SHARE),
    readAheadBytes: Math.floor(memoryBytes * READ_AHEAD_SHARE),
    collectedBytes: Math.floor(memoryBytes * COLLECTED_SHARE),
    maxParsingWaits: Math.floor(memoryBytes * PARSING_SHARE / READ_BYTES)
  }
}

/** Connections to the servers of a VM that are not for callers. */
export interface InternalBounds {
  peerConnections: number
  /** Connections to the server for readiness, and to the one for metrics. */
  checkConnections: number
}

/** Computes how many connections other VMs, health checks and collectors of metrics may open. */
export function computeInternalBounds ({ memoryMb, maxDescriptors }: Pick<VmSettings, 'memoryMb' | 'maxDescriptors'>): InternalBounds {
  const sockets = computeSockets(maxDescriptors)
  return {
    peerConnections: roundConnections(Math.min(sockets * PEER_CONNECTION_SHARE, computeMemoryBytes(memoryMb) * PEER_CONNECTION_MEMORY_SHARE / CONNECTION_BYTES)),
    checkConnections: roundConnections(sockets * CHECK_CONNECTION_SHARE)
  }
}

function computeMemoryBytes (memoryMb: number | null): number {
  return (memoryMb ?? DEFAULT_MEMORY_MB) * BYTES_PER_MB
}

/** Number of descriptors that are left for connections. */
function computeSockets (maxDescriptors: number | null): number {
  return Math.max(0, (maxDescriptors ?? DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS)
}

function roundConnections (count: number): number {
  return Math.max(1, Math.floor(count))
}
