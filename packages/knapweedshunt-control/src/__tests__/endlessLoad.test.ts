import http from 'node:http'
import net from 'node:net'
import type { Socket } from 'node:net'
import test from 'ava'
import { sleep } from 'knapweedshunt-utils'
import { readLoad } from '../readLoad.ts'

const CHUNK = Buffer.alloc(64 * 1024, 'x')

/** Bytes that a connection may take: what the system buffers on both sides of it, and what is kept of a report. */
const MAX_TAKEN_BYTES = 16 * 1024 * 1024

// Guards against an engine whose report never ends and is kept until the process runs out of memory.
test('a load report without an end counts as none, and takes a limited number of bytes', async t => {
  const sockets: Socket[] = []
  const server = net.createServer(socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    const fill = () => { while (!socket.destroyed && socket.write(CHUNK)); }
    socket.on('drain', fill)
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n"')
      fill()
    })
  })
  const agent = new http.Agent({ keepAlive: true })
  t.teardown(() => {
    agent.destroy()
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as net.AddressInfo
  t.like(await readLoad('e', `http://127.0.0.1:${port}`, agent), { type: 'loadUnanswered', endpoint: 'e' })
  while (sockets.some(({ destroyed }) => !destroyed)) await sleep(5)
  t.true(sockets[0].bytesWritten < MAX_TAKEN_BYTES, `${sockets[0].bytesWritten} bytes`)
})
