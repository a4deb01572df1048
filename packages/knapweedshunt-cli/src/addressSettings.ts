import { z } from 'zod'
import type { AdminAddress } from './adminClient.ts'

/** Settings that every command has. */
export const ADDRESS_SETTINGS = {
  adminUrl: { schema: z.url({ protocol: /^http$/ }), describe: 'admin\'s base URL', fallback: 'http://127.0.0.1:8083' },
  operatorKey: { schema: z.string().min(1, 'must not be empty'), describe: 'your operator key', secret: true }
}

/** Kind and name of resources; both may be left out. */
export const SELECTION_SETTINGS = {
  kind: { schema: z.string(), describe: 'a resource kind, all when left out', positional: true, fallback: '' },
  name: { schema: z.string(), describe: 'a resource name, all when left out', positional: true, fallback: '' }
}

/** Reads where admin is. */
export function readAddress (values: { adminUrl: string, operatorKey: string }): AdminAddress {
  return { url: values.adminUrl, operatorKey: values.operatorKey }
}

/** Reads which resources are meant. */
export function readSelection (values: { kind: string, name: string }): { kind: string | null, name: string | null } {
  return { kind: values.kind || null, name: values.name || null }
}
