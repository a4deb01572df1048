import { RELAY_HEADER } from 'knapweedshunt-membership'

/** Names, in lower case, of headers that apply to a single connection (RFC 9110, section 7.6.1), content-length, and the headers between two VMs. */
const CONNECTION_HEADERS = new Set<string>([...Object.values(RELAY_HEADER), 'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length'])

/** Lists the headers to forward, as a flat list of names and values. The sender sets the length of the body itself. */
export function filterEndToEndHeaders (raw: string[]): string[] {
  const connectionOptions = new Set<string>()
  for (let i = 0; i < raw.length; i += 2) {
    if (raw[i].toLowerCase() === 'connection') for (const token of raw[i + 1].split(',')) connectionOptions.add(token.trim().toLowerCase())
  }
  const endToEndHeaders: string[] = []
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i].toLowerCase()
    if (!CONNECTION_HEADERS.has(name) && !connectionOptions.has(name)) endToEndHeaders.push(raw[i], raw[i + 1])
  }
  return endToEndHeaders
}
