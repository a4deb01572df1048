/** Headers that concern one connection only (RFC 9110, 7.6.1), lower case. */
const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length'])

/** Lists the headers, as flat pairs, that travel beyond one connection; the length of the body is set by who sends it on. */
export function listEndToEndHeaders (raw: string[]): string[] {
  const named = new Set<string>()
  for (let i = 0; i < raw.length; i += 2) {
    if (raw[i].toLowerCase() === 'connection') for (const token of raw[i + 1].split(',')) named.add(token.trim().toLowerCase())
  }
  const kept: string[] = []
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i].toLowerCase()
    if (!CONNECTION_HEADERS.has(name) && !named.has(name)) kept.push(raw[i], raw[i + 1])
  }
  return kept
}
