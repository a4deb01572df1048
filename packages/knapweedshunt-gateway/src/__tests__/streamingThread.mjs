import http from 'node:http'
import { parentPort, workerData } from 'node:worker_threads'

const { eventCount, eventIntervalMs } = workerData
const server = http.createServer((request, response) => {
  response.writeHead(200, { 'Content-Type': 'text/event-stream' })
  let sent = 0
  const timer = setInterval(() => {
    response.write(`id: ${++sent}\ndata: token\n\n`)
    if (sent < eventCount) return
    clearInterval(timer)
    response.end()
  }, eventIntervalMs)
})
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))
