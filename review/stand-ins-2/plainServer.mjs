import http from 'node:http'
import { listen } from './store.mjs'

/** Program of one server of a plain service: `ID PIECES PIECE_BYTES GAP_MS`. Its answers have no length and end with their channels. Prints its address. */

const [id, pieces, pieceBytes, gapMs] = process.argv.slice(2).map((word, n) => n === 0 ? word : Number(word))

const server = http.createServer((request, response) => {
  request.resume()
  const { headers, url, socket } = request
  if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== id) return response.writeHead(421, { 'Not-Executed': '1', 'Content-Length': 0 }).end()
  if (url === '/health') return response.writeHead(200, { 'Instance-Id': id, 'Content-Length': 0 }).end()
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${headers['request-id']}\r\nResponse-Stamp: s.${id}\r\nServer-Load: 1,0,32\r\nConnection: close\r\n\r\n`)
  let sent = 0
  const timer = setInterval(() => {
    socket.write(Buffer.alloc(pieceBytes, 'b'))
    if (++sent < pieces) return
    clearInterval(timer)
    socket.end()
  }, gapMs)
  socket.once('close', () => clearInterval(timer))
  socket.on('error', () => {})
})

console.log(await listen(server))
