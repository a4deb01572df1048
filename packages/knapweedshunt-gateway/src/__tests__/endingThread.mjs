import net from 'node:net'
import { parentPort, workerData } from 'node:worker_threads'

/** A process that ends once a connection was opened: the connection is closed first, then the listener. */
const server = net.createServer(socket => {
  setTimeout(() => {
    socket.destroy()
    server.close()
  }, workerData.endDelayMs)
})
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))
