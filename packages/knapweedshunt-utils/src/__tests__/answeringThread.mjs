import http from 'node:http'
import { parentPort, workerData } from 'node:worker_threads'

const { answerDelayMs } = workerData
const server = http.createServer((request, response) => {
  if (answerDelayMs !== null) setTimeout(() => response.end('{}'), answerDelayMs)
})
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))
