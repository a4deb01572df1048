import { z } from 'zod'
import type { AdminAddress } from './adminClient.ts'

/** Settings of every command that calls admin. */
export const ADDRESS_SETTINGS = {
  adminUrl: { schema: z.url({ protocol: /^http$/ }), describe: 'admin\'s base URL', fallback: 'http://127.0.0.1:8083' },
  operatorKey: { schema: z.string().min(1, 'must not be empty'), describe: 'your operator key', secret: true }
}

/** Positional settings that select resources by kind and name; both are optional. */
export const SELECTION_SETTINGS = {
  kind: { schema: z.string(), describe: 'resource kind; all if omitted', positional: true, fallback: '' },
  name: { schema: z.string(), describe: 'resource name; all if omitted', positional: true, fallback: '' }
}

/** Builds admin's address from the settings of a command. */
export function buildAdminAddress (values: { adminUrl: string, operatorKey: string }): AdminAddress {
  return { url: values.adminUrl, operatorKey: values.operatorKey }
}

/** Builds the resource selection; null selects all kinds or names. */
export function buildSelection (values: { kind: string, name: string }): { kind: string | null, name: string | null } {
  return { kind: values.kind || null, name: values.name || null }
}
