import { parseSignedJson, signJson } from 'knapweedshunt-utils'
import type { Ticket } from './ticket.ts'

const PURPOSE = 'order-ticket'

/** Signs a ticket with the shared key. */
export function signTicket (ticket: Ticket, sharedKey: string): string {
  return signJson(ticket, { sharedKey, purpose: PURPOSE })
}

/** Parses and verifies a signed ticket; null when it is malformed or its signature is invalid. */
export function parseTicket (text: string, sharedKey: string): Ticket | null {
  return parseSignedJson(text, { sharedKey, purpose: PURPOSE }) as Ticket | null
}
