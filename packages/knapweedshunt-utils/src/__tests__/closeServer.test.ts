import http from 'node:http'
import test from 'ava'
import { closeServer, listen } from '../index.ts'
import { HeldUpCallers } from './heldUpCallers.ts'

const COUNT = 30

for (const [title, calls] of Object.entries({
  'kept connections': { keptCount: COUNT, newCount: 0 },
  'new connections': { keptCount: 0, newCount: COUNT }
})) {
  // Guards against requests that are reset unread because the server closes first after its process was held up.
  test.serial(`requests that arrived before the server closes are answered: ${title}`, async t => {
    const server = http.createServer((_request, response) => { response.end() })
    const callers = await HeldUpCallers.open({ ...calls, url: await listen(server, { host: '127.0.0.1', port: 0 }) })
    const outcomes = callers.callWhileHeldUp(300)
    const closed = closeServer(server)
    t.deepEqual((await outcomes).filter(outcome => outcome !== '200'), [])
    await closed
  })
}
