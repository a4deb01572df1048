import { computeMac, isSameSecret } from 'knapweedshunt-utils'
import type { Ticket } from './ticket.ts'

const PURPOSE = 'order-ticket'

/** Signs a ticket with the shared key: `<base64url JSON>.<base64url HMAC-SHA256>`. */
export function signTicket (ticket: Ticket, sharedKey: string): string {
  const body = Buffer.from(JSON.stringify(ticket)).toString('base64url')
  return `${body}.${hashBody(body, sharedKey)}`
}

/** Parses and verifies a signed ticket; null when it is malformed or its signature is invalid. */
export function parseTicket (text: string, sharedKey: string): Ticket | null {
  const [body, mac, ...rest] = text.split('.')
  if (body === undefined || mac === undefined || rest.length > 0) return null
  if (!isSameSecret(mac, hashBody(body, sharedKey))) return null
  return JSON.parse(Buffer.from(body, 'base64url').toString('utf8')) as Ticket
}

function hashBody (body: string, sharedKey: string): string {
  return computeMac(sharedKey, PURPOSE, body)
}
