import net from 'node:net'

/**
 * Sends one request on a channel of its own and reads the answer as a sound client does (RFC 9112, section 6.3): a body
 * ends with its length or its last chunk, and one that has neither ends when the channel is closed without a reset.
 * `onData` may pause the socket.
 */
export function call ({ address, method = 'GET', path, host, headers = {}, body = null, timeoutMs = 30_000, onData = () => {} }) {
  const [ip, port] = address.split(':')
  return new Promise(resolve => {
    const chunks = []
    const socket = net.connect({ host: ip, port: Number(port) })
    const result = { status: null, headers: {}, body: Buffer.alloc(0), isWhole: false, end: 'none', sentAtMs: performance.now(), endedAtMs: null }
    const finish = end => {
      if (result.endedAtMs !== null) return
      clearTimeout(timer)
      result.end = end
      result.endedAtMs = performance.now()
      Object.assign(result, parseAnswer(Buffer.concat(chunks), end === 'closed'))
      socket.destroy()
      resolve(result)
    }
    const timer = setTimeout(() => finish('timeout'), timeoutMs)
    socket.on('connect', () => {
      const lines = Object.entries({ Host: host, ...headers, ...body !== null && { 'Content-Length': Buffer.byteLength(body) } }).map(([name, value]) => `${name}: ${value}\r\n`)
      socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body ?? ''}`)
    })
    socket.on('data', chunk => {
      chunks.push(chunk)
      onData(socket, chunk)
      const { isWhole, isDelimited } = parseAnswer(Buffer.concat(chunks.length < 64 ? chunks : chunks.splice(0, chunks.length, Buffer.concat(chunks))), false)
      if (isWhole && isDelimited) finish('answered')
    })
    socket.on('end', () => finish('closed'))
    socket.on('error', error => finish(error.code === 'ECONNRESET' ? 'reset' : `error ${error.code}`))
    socket.on('close', () => finish('closed'))
  })
}

function parseAnswer (bytes, isClosed) {
  const headEnd = bytes.indexOf('\r\n\r\n')
  if (headEnd === -1) return { status: null, isWhole: false, isDelimited: false }
  const [statusLine, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n')
  const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const status = Number(statusLine.split(' ')[1])
  const rest = bytes.subarray(headEnd + 4)
  if (headers['transfer-encoding'] !== undefined) return { status, headers, isDelimited: true, ...parseChunks(rest) }
  if (headers['content-length'] !== undefined) return { status, headers, isDelimited: true, body: rest, isWhole: rest.length >= Number(headers['content-length']) }
  return { status, headers, isDelimited: false, body: rest, isWhole: isClosed }
}

function parseChunks (bytes) {
  const parts = []
  for (let at = 0; ;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    if (lineEnd === -1) return { body: Buffer.concat(parts), isWhole: false }
    const size = parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16)
    parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size))
    if (size === 0) return { body: Buffer.concat(parts), isWhole: bytes.length >= lineEnd + 4 }
    at = lineEnd + 4 + size
    if (at > bytes.length) return { body: Buffer.concat(parts), isWhole: false }
  }
}
