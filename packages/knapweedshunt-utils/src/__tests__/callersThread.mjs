import http from 'node:http'
import { parentPort, workerData } from 'node:worker_threads'

const { url, keptCount, newCount, sentCount } = workerData
const keptAgents = Array.from({ length: keptCount }, () => new http.Agent({ keepAlive: true, maxSockets: 1 }))

/** Resolves to the status of the response, or to why there is none. */
function call (agent, onSent) {
  return new Promise(resolve => {
    const request = http.get(url, { agent }, response => {
      response.resume()
      response.once('end', () => resolve(String(response.statusCode)))
      response.once('error', ({ message }) => resolve(message))
    })
    request.once('finish', onSent)
    request.once('error', ({ message }) => resolve(message))
  })
}

function countSent () {
  Atomics.add(sentCount, 0, 1)
  Atomics.notify(sentCount, 0)
}

await Promise.all(keptAgents.map(agent => call(agent, () => {})))
parentPort.once('message', async () => {
  const newAgents = Array.from({ length: newCount }, () => new http.Agent())
  parentPort.postMessage(await Promise.all([...keptAgents, ...newAgents].map(agent => call(agent, countSent))))
  for (const agent of keptAgents) agent.destroy()
})
parentPort.postMessage('ready')
