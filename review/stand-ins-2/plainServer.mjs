import http from 'node:http'

/** Program of one server of a plain service: `ID PORT PIECES PIECE_BYTES GAP_MS`. With a gap of 0 each answer has a length and comes at once; others have none and end with their channels, on paths with `stream` they are events. Prints its address. */

const [id, ...figures] = process.argv.slice(2)
const [port, pieces, pieceBytes, gapMs] = figures.map(Number)

const server = http.createServer((request, response) => {
  request.resume()
  const { headers, url, socket } = request
  if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== id) return response.writeHead(421, { 'Not-Executed': '1', 'Content-Length': 0 }).end()
  if (url === '/health') return response.writeHead(200, { 'Instance-Id': id, 'Content-Length': 0 }).end()
  if (gapMs === 0) return response.writeHead(200, { 'Request-Id': headers['request-id'], 'Response-Stamp': `s.${id}`, 'Server-Load': '1,0,32', 'Content-Length': pieces * pieceBytes }).end(Buffer.alloc(pieces * pieceBytes, 'b'))
  const isStream = url.includes('stream')
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${headers['request-id']}\r\nResponse-Stamp: s.${id}\r\nServer-Load: 1,0,32\r\n${isStream ? 'Content-Type: text/event-stream\r\n' : ''}Connection: close\r\n\r\n`)
  let sent = Number(headers['last-event-id'] ?? 0)
  const timer = setInterval(() => {
    sent++
    socket.write(isStream ? `id: ${sent}\ndata: piece ${sent}\n\n` : Buffer.alloc(pieceBytes, 'b'))
    if (sent < pieces) return
    clearInterval(timer)
    socket.end()
  }, gapMs)
  socket.once('close', () => clearInterval(timer))
  socket.on('error', () => {})
})

server.listen(port, '127.0.0.1', () => console.log(`127.0.0.1:${server.address().port}`))
