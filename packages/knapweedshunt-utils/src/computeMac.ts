import { createHmac } from 'node:crypto'

/** Computes the HMAC-SHA256 of parts joined by dots, in base64url. Only the last part may contain dots. */
export function computeMac (sharedKey: string, ...parts: string[]): string {
  return createHmac('sha256', sharedKey).update(parts.join('.')).digest('base64url')
}
